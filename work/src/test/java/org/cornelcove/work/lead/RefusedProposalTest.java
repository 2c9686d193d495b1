package org.cornelcove.work.lead;

import java.util.Optional;
import java.util.Set;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.state.WorkCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** A leader whose log takes no entries for a while, as during a transfer of leadership that fails. */
class RefusedProposalTest extends TermRig {
    /** The failures that prove that an entry was not appended. */
    private enum Refusal {
        LEADERSHIP_TRANSFER(ErrorKind.NOT_LEADER),
        TOO_MANY_UNCOMMITTED(ErrorKind.NO_QUORUM);

        final ErrorKind kind;

        Refusal(ErrorKind kind) {
            this.kind = kind;
        }

        Failure failure() {
            return Failure.of(kind, "the other control hosts");
        }
    }

    private void refuseFor(long ms, Refusal refusal) {
        refused = Optional.of(refusal.failure());
        runWithBeats(ms);
        refused = Optional.empty();
    }

    /** Guards against a worker that is never polled again, and its tasks that hang, because the log did not take an end. */
    @ParameterizedTest
    @EnumSource
    void anEndThatTheLogDidNotTakeIsCommittedOnceItDoes(Refusal refusal) {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(4)));
        loop.run(100);
        assertThat(worker.running.size(), is(4));
        refuseFor(1000, refusal);
        assertThat(worker.running, is(anEmptyMap()));
        assertThat(phase("j"), is(JobPhase.RUNNING));
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(worker.ended, empty());
        assertThat(Set.copyOf(workers.starts.values()), is(Set.of(1)));
        assertThat(workers.faults, empty());
    }

    /** Guards against a task that hangs because the log did not take the end that its lost lease proves. */
    @ParameterizedTest
    @EnumSource
    void aLostRunThatTheLogDidNotTakeStartsElsewhere(Refusal refusal) {
        workers.taskMs = 60_000;
        FakeWorkers.Incarnation silent = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(100);
        silent.silent = true;
        workers.taskMs = FakeWorkers.TASK_MS;
        workers.add("w2", 1);
        refuseFor(8000, refusal);
        runWithBeats(3000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    /** Guards against an end that is acknowledged while the state has the run, so that the next leader starts it again. */
    @ParameterizedTest
    @EnumSource
    void anEndOfALostRunIsNotAcknowledgedBeforeTheLossIsCommitted(Refusal refusal) {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(100);
        worker.silent = true;
        refuseFor(8000, refusal);
        worker.silent = false;
        refuseFor(3000, refusal);
        int keptEnds = worker.ended.size();
        lead();
        runWithBeats(3000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(Set.copyOf(workers.starts.values()), is(Set.of(1)));
        assertThat(keptEnds, is(1));
    }

    @ParameterizedTest
    @EnumSource
    void aStartThatTheLogDidNotTakeIsPlacedOnceItDoes(Refusal refusal) {
        workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(4)));
        refuseFor(1000, refusal);
        assertThat(workers.starts, is(anEmptyMap()));
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(Set.copyOf(workers.starts.values()), is(Set.of(1)));
        assertThat(workers.faults, empty());
    }

    /** Guards against a dead worker, or a missing one, in the state that the next leader takes over. */
    @ParameterizedTest
    @EnumSource
    void theStateLearnsOfAWorkerThatTheLogDidNotTake(Refusal refusal) {
        refused = Optional.of(refusal.failure());
        workers.add("w1", 1, "10.0.0.1:1000");
        loop.run(500);
        assertThat(state.workers(), not(hasKey("w1")));
        refused = Optional.empty();
        loop.run(500);
        assertThat(state.workers(), hasKey("w1"));
        refused = Optional.of(refusal.failure());
        workers.add("w2", 2, "10.0.0.1:1000");
        loop.run(500);
        assertThat(state.workers().keySet(), is(Set.of("w1")));
        refused = Optional.empty();
        loop.run(500);
        assertThat(state.workers().keySet(), is(Set.of("w2")));
    }

    /** Guards against a worker that is never polled again because the job of its run was removed before the end of the run. */
    @ParameterizedTest
    @EnumSource
    void anEndOfARemovedJobIsAcknowledged(Refusal refusal) {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(100);
        cancel("j");
        refuseFor(1000, refusal);
        assertThat(worker.ended.size(), is(1));
        apply(new WorkCommand.RemoveJob("j"));
        runWithBeats(2000);
        assertThat(worker.ended, empty());
    }

    /** Guards against an end that is proposed again after a later start under the same number, and ends that run instead. */
    @ParameterizedTest
    @ValueSource(longs = {90, 102, 105, 108, 150, 500})
    void anEndOfARefusedStartDoesNotEndTheNextStart(long refusedMs) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        loop.run(100);
        refused = Optional.of(Refusal.LEADERSHIP_TRANSFER.failure());
        submit(Steps.job("j", Steps.plain(4)));
        loop.run(59);
        old.crash();
        workers.restart("w1", 2);
        loop.term.announce(workers.info("w1", 2, old.info.address(), false, 1));
        workers.add("w2", 1);
        loop.run(refusedMs);
        refused = Optional.empty();
        runWithBeats(5000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(Set.copyOf(workers.starts.values()), is(Set.of(1)));
    }
}
