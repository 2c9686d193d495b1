package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.cornelcove.control.leader.ControlLeader;
import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.wire.Codec;

/** Three control hosts over one committed log. A deposed leader may believe for a configurable time that it leads. */
final class ControlGroup {
    /** A strong reference, since a logger that is garbage-collected loses its level. */
    private static final Logger QUIET = Logger.getLogger("org.cornelcove.control");

    private static final int SIZE = 3;
    private static final long ELECTION_MS = 400;

    private static final class Node {
        private ControlState state = ControlState.create();
        private ControlLeader leader;
        private boolean believesLeading;
        private int applied;
    }

    private record Proposal(Node node, Command command, CompletableFuture<Outcome> future) {}

    private final Timeline time;
    private final Mutant mutant;
    private final List<Node> nodes = new ArrayList<>();
    private final List<byte[]> log = new ArrayList<>();
    private final List<Proposal> inFlight = new ArrayList<>();
    private final List<Consumer<Command>> observers = new ArrayList<>();
    private long term;
    private int leading;
    private int lastLeading;
    private int renumbered;
    private long commitMs = 2;

    ControlGroup(Timeline time, Mutant mutant) {
        QUIET.setLevel(Level.WARNING);
        this.time = time;
        this.mutant = mutant;
        for (int i = 0; i < SIZE; i++) {
            Node node = new Node();
            node.leader = ControlLeader.create(
                    node.state,
                    this::leaderClockMs,
                    (forTerm, command) -> propose(node, forTerm, command),
                    () -> barrier(node));
            nodes.add(node);
            time.every(50, node.leader::tick);
        }
        gainLeadership(0);
    }

    private long leaderClockMs() {
        return mutant == Mutant.SHORT_WAIT ? time.nowMs() * 10 : time.nowMs();
    }

    public ControlLeader node(int index) {
        return nodes.get(Math.floorMod(index, SIZE)).leader;
    }

    /** Registers an observer that is called with each command when it is committed. */
    void observe(Consumer<Command> observer) {
        observers.add(observer);
    }

    private Node leader() {
        return leading < 0 ? null : nodes.get(leading);
    }

    private CompletableFuture<Long> barrier(Node node) {
        if (mutant == Mutant.NO_BARRIER && node.believesLeading) {
            return CompletableFuture.completedFuture((long) node.applied);
        }
        CompletableFuture<Long> future = new CompletableFuture<>();
        time.after(time.between(1, 3), () -> {
            if (node == leader()) {
                future.complete((long) node.applied);
            } else {
                future.completeExceptionally(Failure.of(ErrorKind.NO_QUORUM).asException());
            }
        });
        return future;
    }

    private CompletableFuture<Outcome> propose(Node node, long forTerm, Command command) {
        CompletableFuture<Outcome> future = new CompletableFuture<>();
        if (node != leader() || forTerm != term) {
            future.completeExceptionally(
                    Failure.of(ErrorKind.NOT_LEADER, "another").asException());
            return future;
        }
        Proposal proposal = new Proposal(node, command, future);
        inFlight.add(proposal);
        time.after(commitMs, () -> {
            if (inFlight.remove(proposal)) {
                future.complete(commit(node, command));
            }
        });
        return future;
    }

    private Outcome commit(Node node, Command proposed) {
        Command command = mutate(proposed);
        log.add(Codec.encode(command));
        Outcome outcome = catchUp(node).orElseThrow();
        observers.forEach(observer -> observer.accept(command));
        if (mutant == Mutant.FREED_ON_CANCEL && command instanceof CancelJob) {
            freeImmediately(node, (CancelJob) command);
        }
        return outcome;
    }

    private void freeImmediately(Node node, CancelJob cancel) {
        node.state.read(tables -> tables.jobs().find(cancel.job())).ifPresent(job -> {
            AttemptId attempt = AttemptId.of(cancel.job(), job.attempt());
            log.add(Codec.encode(new EndAttempt(attempt, AttemptEnd.LOST, Optional.empty(), "")));
            catchUp(node);
        });
    }

    private Command mutate(Command command) {
        if (mutant == Mutant.NO_CLAIM && command instanceof ClaimOnce) {
            ClaimOnce claim = (ClaimOnce) command;
            return new ClaimOnce(
                    claim.key() + "." + log.size(),
                    claim.digest(),
                    claim.entry(),
                    claim.incarnation(),
                    claim.claimNumber());
        }
        if (mutant == Mutant.RELEASE_OF_ANY_GRANT && command instanceof ReleaseClaim) {
            return releaseOfAnyGrant((ReleaseClaim) command);
        }
        if (mutant == Mutant.LOST_NEVER_ENDED && command instanceof EndAttempt end && end.end() == AttemptEnd.LOST) {
            return withoutEffect(end.attempt());
        }
        if (mutant == Mutant.CHECKPOINT_DROPPED && command instanceof EndAttempt) {
            EndAttempt end = (EndAttempt) command;
            return new EndAttempt(end.attempt(), end.end(), Optional.empty(), end.detail());
        }
        if (mutant == Mutant.CHECKPOINT_DROPPED && command instanceof RecordCheckpoint) {
            return withoutEffect(((RecordCheckpoint) command).attempt());
        }
        if (mutant == Mutant.PROPOSALS_RENUMBERED && command instanceof ProposeConfiguration) {
            ProposeConfiguration change = (ProposeConfiguration) command;
            renumbered++;
            return new ProposeConfiguration(1_000L + renumbered, change.operator(), change.digest(), change.rules());
        }
        return command;
    }

    /** Returns a command that is refused because its attempt does not exist. */
    private static Command withoutEffect(AttemptId attempt) {
        return new RecordCheckpoint(AttemptId.of(attempt.job(), 0), "none");
    }

    private Command releaseOfAnyGrant(ReleaseClaim release) {
        return nodes.get(lastLeading).state.read(tables -> tables.ledger().all()).stream()
                .filter(claim -> claim.key().equals(release.key()))
                .findFirst()
                .map(open -> new ReleaseClaim(open.key(), open.entry(), open.incarnation(), open.claimNumber()))
                .orElse(release);
    }

    private Optional<Outcome> catchUp(Node node) {
        Outcome last = null;
        while (node.applied < log.size()) {
            byte[] outcome = node.state.apply(node.applied + 1L, log.get(node.applied));
            last = Codec.decode(outcome, Outcome.class);
            node.applied++;
        }
        return Optional.ofNullable(last);
    }

    private void gainLeadership(int index) {
        leading = index;
        lastLeading = index;
        Node node = nodes.get(index);
        if (time.random().nextBoolean()) {
            node.state.restore(node.state.snapshot());
        }
        catchUp(node);
        node.believesLeading = true;
        node.leader.leadershipGained(++term);
    }

    /** Sets the duration of later commits. */
    void commitMs(long durationMs) {
        commitMs = durationMs;
    }

    /**
     * Deposes the current leader; another takes over after an election.
     *
     * @param unawareMs how long the old leader still believes that it leads
     */
    public void changeLeader(long unawareMs) {
        if (leading < 0) {
            return;
        }
        int old = leading;
        leading = -1;
        Node node = nodes.get(old);
        List<Proposal> interrupted = List.copyOf(inFlight);
        inFlight.clear();
        for (Proposal proposal : interrupted) {
            if (time.random().nextBoolean()) {
                Command command = mutate(proposal.command());
                log.add(Codec.encode(command));
                observers.forEach(observer -> observer.accept(command));
            }
            proposal.future()
                    .completeExceptionally(
                            Failure.of(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN).asException());
        }
        time.after(unawareMs, () -> {
            node.believesLeading = false;
            if (leader() != node) {
                node.leader.leadershipLost();
            }
        });
        time.after(ELECTION_MS, () -> gainLeadership((old + 1) % SIZE));
    }
}
