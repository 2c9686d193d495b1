package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.wire.Codec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** A leader whose term ends between a decision and its proposal, while the same host leads again in a later term. */
class EndedTermTest {
    private static final HostId HOST = HostId.of("h");
    private static final Resources CAPACITY = Resources.of(2_000, 100, 0);
    private static final AttemptId FIRST = AttemptId.of(JobId.of("a"), 1);
    private static final AttemptId SECOND = AttemptId.of(JobId.of("b"), 1);

    private final ControlState state = ControlState.create();
    private final ControlLeader leader =
            ControlLeader.create(state, () -> this.nowMs, this::propose, () -> CompletableFuture.completedFuture(0L));
    private final List<Command> appended = new ArrayList<>();
    private long nowMs = 1_000;
    private long index;
    private long currentTerm = 1;
    /** Run once before the next proposal arrives at the group. */
    private Runnable beforeNextProposal = () -> {};

    private CompletableFuture<Outcome> propose(long term, Command command) {
        Runnable before = beforeNextProposal;
        beforeNextProposal = () -> {};
        before.run();
        if (term != currentTerm) {
            return CompletableFuture.failedFuture(
                    Failure.of(ErrorKind.NOT_LEADER, "another").asException());
        }
        appended.add(command);
        return CompletableFuture.completedFuture(commit(command));
    }

    private Outcome commit(Command command) {
        return Codec.decode(state.apply(++index, Codec.encode(command)), Outcome.class);
    }

    private void submitAndPlace(AttemptId attempt) {
        JobSpec spec = new JobSpec(attempt.job(), "red", JobKind.BATCH, "t", Resources.of(800, 1, 0), 1, false, "");
        commit(new SubmitJob(spec));
        commit(new PlaceAttempt(attempt, HOST));
    }

    private List<AttemptAction> ordersWhileBothRun() {
        List<AttemptReport> reports = List.of(report(FIRST), report(SECOND));
        return leader
                .workerHeartbeat(new WorkerHeartbeat(HOST, 1, "z", "r", CAPACITY, false, reports))
                .join()
                .orders()
                .stream()
                .map(AttemptOrder::action)
                .toList();
    }

    private static AttemptReport report(AttemptId attempt) {
        return AttemptReport.of(attempt, 0, 0, 0, Optional.empty(), Optional.empty(), "");
    }

    /** Another leader renews the leases of the attempts; then this host leads again, and renews them too. */
    private void leadAgain() {
        leader.leadershipLost();
        currentTerm = 3;
        leader.leadershipGained(currentTerm);
        assertThat(ordersWhileBothRun(), is(List.of(AttemptAction.RUN, AttemptAction.RUN)));
    }

    /** Regression test: attempts that run under a renewed lease were ended as expired by a leader of an ended term. */
    @Test
    void anExpiryThatWasDecidedInAnEndedTermIsNotAppendedWhenTheHostLeadsAgain() {
        commit(new RegisterWorker(HOST, 1, "z", "r", CAPACITY));
        submitAndPlace(FIRST);
        submitAndPlace(SECOND);
        leader.leadershipGained(currentTerm);
        leader.tick();
        nowMs = Leases.attemptLeaseEndMs(nowMs);
        beforeNextProposal = this::leadAgain;
        leader.tick();
        assertThat("led again", currentTerm, is(3L));
        assertThat(appended.stream().filter(EndAttempt.class::isInstance).toList(), is(empty()));
        for (AttemptId attempt : List.of(FIRST, SECOND)) {
            JobState jobState = state.read(
                    tables -> tables.jobs().find(attempt.job()).orElseThrow().state());
            assertThat(jobState, is(JobState.PLACED));
        }
    }
}
