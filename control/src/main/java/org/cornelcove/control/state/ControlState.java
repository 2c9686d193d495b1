package org.cornelcove.control.state;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;

import org.cornelcove.model.command.AbandonClaims;
import org.cornelcove.model.command.AssignRange;
import org.cornelcove.model.command.AssignTarget;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.ExpireClaims;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.RegisterEntry;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.command.RejectJob;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.command.RemoveWorker;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.replication.StateMachine;
import org.cornelcove.wire.Codec;

/**
 * The durable state of the cluster, to which the replicated log is applied.
 *
 * <p>Deterministic: the outcome of a command depends only on the commands before it, never on time, randomness or the
 * iteration order of a hash map. Every command has an {@link Outcome}; a malformed one is refused and changes nothing.
 * There is one table for each concept: jobs and what they hold, workers, entries, claims, ownership, configuration.
 *
 * <p>Commands are applied by one thread. Other threads read through {@link #read}, which excludes the applying thread
 * for as long as the reader runs, so readers copy what they need and return.
 */
public final class ControlState implements StateMachine {
    private final ReadWriteLock lock = new ReentrantReadWriteLock();
    private final WorkerTable workers = new WorkerTable();
    private final EntryRegister entries = new EntryRegister();
    private final OwnershipTable ownership = new OwnershipTable(entries);
    private final ConfigurationRegister configuration = new ConfigurationRegister();
    private final JobTable jobs;
    private final ClaimLedger ledger;
    private long appliedIndex;

    private ControlState(Limits limits) {
        this.jobs = new JobTable(workers, limits.keptEndedJobs());
        this.ledger = new ClaimLedger(entries, limits);
    }

    /**
     * Creates the state of a new cluster.
     *
     * @return the state
     */
    public static ControlState create() {
        return create(Limits.STANDARD);
    }

    /**
     * Creates the state of a new cluster with other limits.
     *
     * @param limits how much ended and decided state is kept
     * @return the state
     */
    public static ControlState create(Limits limits) {
        return new ControlState(limits);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        lock.writeLock().lock();
        try {
            appliedIndex = index;
            return Codec.encode(apply(index, Codec.decode(command, Command.class)));
        } catch (FailureException e) {
            return Codec.encode(new Refused(e.failure()));
        } finally {
            lock.writeLock().unlock();
        }
    }

    private Outcome apply(long index, Command command) {
        if (command == null) {
            return new Refused(Failure.of(ErrorKind.COMMAND_INVALID, "its type"));
        }
        Optional<String> missing = MissingField.find(command);
        if (missing.isPresent()) {
            return new Refused(Failure.of(ErrorKind.COMMAND_INVALID, missing.get()));
        }
        return route(index, command);
    }

    private Outcome route(long index, Command command) {
        RuleSet rules = configuration.newest().rules();
        if (command instanceof SubmitJob) {
            return jobs.submit(index, (SubmitJob) command, rules);
        }
        if (command instanceof CancelJob) {
            return jobs.cancel(index, (CancelJob) command);
        }
        if (command instanceof RejectJob) {
            return jobs.reject(index, (RejectJob) command, rules);
        }
        if (command instanceof PlaceAttempt) {
            return jobs.place(index, (PlaceAttempt) command, rules);
        }
        if (command instanceof RecordCheckpoint) {
            return jobs.checkpoint(index, (RecordCheckpoint) command);
        }
        if (command instanceof EndAttempt) {
            return jobs.end(index, (EndAttempt) command, rules);
        }
        if (command instanceof RegisterWorker) {
            return workers.register(index, (RegisterWorker) command);
        }
        if (command instanceof RemoveWorker) {
            RemoveWorker remove = (RemoveWorker) command;
            return workers.remove(
                    index, remove.host(), jobs.heldOn(remove.host()).attempts());
        }
        if (command instanceof ProposeConfiguration) {
            return configuration.propose((ProposeConfiguration) command);
        }
        return routeEntryCommand(index, command);
    }

    private Outcome routeEntryCommand(long index, Command command) {
        if (command instanceof RegisterEntry) {
            return register(index, (RegisterEntry) command);
        }
        if (command instanceof AssignTarget) {
            return ownership.assign(index, (AssignTarget) command);
        }
        if (command instanceof AssignRange) {
            return ownership.assign(index, (AssignRange) command);
        }
        if (command instanceof ClaimOnce) {
            return ledger.claim(index, (ClaimOnce) command);
        }
        if (command instanceof ReleaseClaim) {
            return ledger.release(index, (ReleaseClaim) command);
        }
        if (command instanceof RecordOutcome) {
            return ledger.record(index, (RecordOutcome) command);
        }
        if (command instanceof AbandonClaims) {
            return ledger.abandon(index, (AbandonClaims) command);
        }
        if (command instanceof ExpireClaims) {
            return ledger.expire(index, (ExpireClaims) command);
        }
        throw new IllegalStateException("no handler for " + command.getClass());
    }

    /** A newer incarnation of an entry fences the earlier ones and owns nothing yet. */
    private Outcome register(long index, RegisterEntry command) {
        OptionalLong registered = entries.incarnation(command.entry());
        if (registered.isPresent() && registered.getAsLong() > command.incarnation()) {
            return new Refused(Failure.of(ErrorKind.ENTRY_FENCED, command.entry()));
        }
        if (registered.isPresent() && registered.getAsLong() < command.incarnation()) {
            ownership.withdrawAll(index, command.entry());
        }
        entries.register(command.entry(), command.incarnation());
        return new Done(index);
    }

    /**
     * Reads the state. The reader must not keep references to the tables.
     *
     * @param reader what to read
     * @param <R> the type of what is read
     * @return what was read
     */
    public <R> R read(Function<Tables, R> reader) {
        lock.readLock().lock();
        try {
            return reader.apply(new Tables(appliedIndex, jobs, workers, entries, ledger, ownership, configuration));
        } finally {
            lock.readLock().unlock();
        }
    }

    @Override
    public byte[] snapshot() {
        return Codec.encode(read(ControlState::toSnapshot));
    }

    private static Snapshot toSnapshot(Tables tables) {
        return new Snapshot(
                Snapshot.FORMAT,
                tables.appliedIndex(),
                tables.jobs().all().values().stream()
                        .sorted(Comparator.comparing(Job::id))
                        .toList(),
                List.copyOf(tables.workers().all()),
                List.copyOf(tables.entries().all()),
                tables.ledger().all().stream()
                        .sorted(Comparator.comparing(Claim::key))
                        .toList(),
                List.copyOf(tables.ownership().targets().values()),
                List.copyOf(tables.ownership().ranges()),
                tables.ownership().epochFloor(),
                tables.configuration().newest(),
                tables.configuration().changes());
    }

    @Override
    public void restore(byte[] snapshot) {
        Snapshot decoded = Codec.decode(snapshot, Snapshot.class);
        lock.writeLock().lock();
        try {
            appliedIndex = decoded.appliedIndex();
            workers.restore(decoded.workers());
            entries.restore(decoded.entries());
            jobs.restore(decoded.jobs());
            ledger.restore(decoded.claims());
            ownership.restore(decoded.targets(), decoded.ranges(), decoded.epochFloor());
            configuration.restore(decoded.configuration(), decoded.changes());
        } finally {
            lock.writeLock().unlock();
        }
    }
}
