package org.cornelcove.control.state;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.rule.BatchRule;

/** The registered workers. A registration with a lower incarnation than the registered one is refused. */
public final class WorkerTable {
    private final TreeMap<HostId, WorkerRecord> workers = new TreeMap<>();

    Outcome register(long index, RegisterWorker command) {
        WorkerRecord registered = workers.get(command.host());
        if (registered != null && registered.incarnation() > command.incarnation()) {
            return new Refused(Failure.of(ErrorKind.WORKER_FENCED, command.host()));
        }
        if (command.capacity().isNegative() || JobCheck.tooLarge(command.capacity())) {
            return new Refused(Failure.of(ErrorKind.COMMAND_INVALID, "a usable capacity"));
        }
        WorkerRecord worker = new WorkerRecord(
                command.host(), command.incarnation(), command.availabilityZone(), command.rack(), command.capacity());
        workers.put(command.host(), worker);
        return new Done(index);
    }

    Outcome remove(long index, HostId host, int heldAttempts) {
        if (!workers.containsKey(host)) {
            return new Refused(Failure.of(ErrorKind.HOST_UNKNOWN, host));
        }
        if (heldAttempts > 0) {
            return new Refused(Failure.of(ErrorKind.WORKER_BUSY, host, heldAttempts));
        }
        workers.remove(host);
        return new Done(index);
    }

    void restore(Collection<WorkerRecord> records) {
        workers.clear();
        for (WorkerRecord worker : records) {
            workers.put(worker.host(), worker);
        }
    }

    /**
     * Finds a worker.
     *
     * @param host the worker
     * @return the record, empty for an unknown worker
     */
    public Optional<WorkerRecord> find(HostId host) {
        return Optional.ofNullable(workers.get(host));
    }

    /**
     * Returns all workers, by name.
     *
     * @return an unmodifiable view
     */
    public Collection<WorkerRecord> all() {
        return Collections.unmodifiableCollection(workers.values());
    }

    /**
     * Returns a worker that could hold the job if it were empty.
     *
     * @param spec the job
     * @param rule the rule for batch work
     * @return the first such worker by name, empty if there is none
     */
    public Optional<WorkerRecord> couldHold(JobSpec spec, BatchRule rule) {
        return workers.values().stream()
                .filter(worker -> FitCheck.fitsEmpty(spec, worker.capacity(), rule))
                .findFirst();
    }
}
