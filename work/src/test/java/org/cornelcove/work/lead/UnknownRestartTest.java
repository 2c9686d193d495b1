package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Restarts of a worker under its id that the leader does not know of when it acts upon the earlier incarnation. */
class UnknownRestartTest extends TermRig {
    /** Regression test for TWICE: a start under way was carried out by the third incarnation after the second was stopped. */
    @Test
    void aStartThatAThirdIncarnationCarriesOutDoesNotRunBesideAnother() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.lateStartMs = 450;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        old.crash();
        FakeWorkers.Incarnation second = workers.restart("w1", 2);
        second.pollsLost = true;
        loop.term.announce(workers.info("w1", 2, old.info.address(), false, 1));
        loop.run(50);
        second.crash();
        workers.restart("w1", 3);
        workers.add("w2", 1);
        workers.taskMs = 3000;
        loop.run(1000);
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Regression test for TWICE: a poll meant for the earlier incarnation acknowledged an end as done of the later one. */
    @Test
    void anEndOfTheNewIncarnationIsNotAcknowledgedByTheNumberOfAnEarlierEnd() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        submit(Steps.job("earlier", Steps.plain(4)));
        loop.run(2000);
        assertThat(phase("earlier"), is(JobPhase.COMPLETED));
        assertThat(old.ended, empty());
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.pollsLost = true;
        workers.taskMs = 100;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(300);
        restarted.pollsLost = false;
        loop.run(500);
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Regression test for TWICE: the lease that an unknown later incarnation got is longer than that of the earlier one. */
    @Test
    void aTaskWaitsForTheLeaseOfANewIncarnationThatWasNeverHeardOf() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.pollsLost = true;
        workers.taskMs = 60_000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        assertThat(restarted.running.size(), is(1));
        restarted.silent = true;
        workers.add("w2", 1);
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
    }

    /**
     * Regression test for TWICE: an order for the earlier incarnation gave the later one the longest lease, which outlasts those
     * that it gets afterwards; with {@code leaderChange} the next leader does not know of that order.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aTaskWaitsForTheLeaseThatAnOrderForTheEarlierIncarnationGave(boolean leaderChange) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        workers.taskMs = 60_000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(200);
        loop.term.announce(workers.info("w1", 2, old.info.address(), false, 1));
        if (leaderChange) {
            lead();
        }
        loop.run(200);
        assertThat(restarted.running.size(), is(1));
        restarted.silent = true;
        workers.add("w2", 1);
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
    }

    /**
     * Regression test for TWICE: a start that was listed, and is sent again since its answer is lost, is carried out by the
     * later incarnation, whose lease is longer than that of the one that listed it.
     */
    @Test
    void aTaskWaitsForTheLeaseOfANewIncarnationThatARepeatedStartReached() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        workers.taskMs = 300;
        submit(Steps.job("earlier", Steps.plain(1)));
        loop.run(200);
        workers.taskMs = 60_000;
        old.startAnswersLost = true;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(300);
        assertThat(old.running.size(), is(1));
        assertThat(old.lastEnd, is(1L));
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.pollsLost = true;
        loop.run(700);
        assertThat(restarted.running.size(), is(1));
        restarted.silent = true;
        workers.add("w2", 1);
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
    }

    /**
     * Guards against tasks of an earlier leader that wait for the longest lease, when their worker falls silent, for as long as
     * they run.
     */
    @ParameterizedTest
    @CsvSource({"1000, 8000", "14000, 6500"})
    void aTaskOfAnEarlierLeaderWaitsForTheLeaseOfItsWorker(long leadMs, long waitMs) {
        workers.taskMs = 600_000;
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(200);
        lead();
        workers.add("w2", 1);
        runWithBeats(leadMs);
        worker.silent = true;
        runWithBeats(waitMs);
        assertThat(workers.faults, empty());
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
    }

    /** Regression test for TWICE: a worker whose time of day was stepped back before it started again. */
    @Test
    void aTaskOfANewIncarnationThatNamesAnEarlierStartDoesNotRunBesideAnother() {
        FakeWorkers.Incarnation old = workers.add("w1", 5);
        old.crash();
        workers.restart("w1", 3);
        workers.taskMs = 3000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        workers.add("w2", 1);
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** The next leader gave up the runs that such a worker had taken. */
    @Test
    void theNextLeaderAsksANewIncarnationThatNamesAnEarlierStart() {
        FakeWorkers.Incarnation old = workers.add("w1", 5);
        old.crash();
        workers.restart("w1", 3);
        workers.taskMs = 20_000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(100);
        workers.add("w2", 1);
        lead();
        runWithBeats(15_000);
        assertThat(workers.faults, empty());
        assertThat(workers.starts.values(), contains(1));
    }

    /** A run that was shown on the earlier incarnation ended with it, and does not wait for a later one that is silent. */
    @Test
    void aTaskThatTheEarlierIncarnationRanStartsElsewhereAtOnce() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        workers.taskMs = 3000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(200);
        workers.add("w2", 1);
        old.crash();
        workers.restart("w1", 2).silent = true;
        loop.term.announce(workers.info("w1", 2, old.info.address(), true, 1));
        loop.run(300);
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
        assertThat(workers.faults, empty());
    }

    /** Regression test for TWICE: an order without an answer was carried out after the run had been seen on the worker. */
    @Test
    void aFirstOrderThatTheNewIncarnationCarriesOutDoesNotRunBesideAnother() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.lateStartMs = 1500;
        workers.taskMs = 4000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(550);
        old.lateStartMs = 0;
        loop.run(450);
        assertThat("by the second order", old.running.size(), is(1));
        old.crash();
        workers.restart("w1", 2);
        loop.term.announce(workers.info("w1", 2, old.info.address(), true, 1));
        workers.add("w2", 1);
        runWithBeats(15_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Where another worker does answer, nothing runs any more, and the tasks do not wait for a lease. */
    @Test
    void theRunsOfAWorkerEndWhenAnotherAnswersAPollAtItsAddress() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        workers.taskMs = 3000;
        submit(Steps.job("j", Steps.plain(4)));
        loop.run(20);
        old.crash();
        old.otherAnswers = true;
        workers.add("w2", 2, old.info.address());
        loop.run(1000);
        assertThat(workers.incarnations.get("w2").running.size(), is(4));
        assertThat(workers.faults, empty());
    }

    /** Regression test for TWICE: the late heartbeat of a worker that had the address for a while ended the runs there. */
    @Test
    void aLateHeartbeatOfAnotherWorkerAtTheAddressDoesNotEndTheRunsThatTheNewIncarnationHas() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 3);
        restarted.pollsLost = true;
        workers.taskMs = 3000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        workers.add("w2", 1);
        loop.term.announce(workers.info("other", 2, old.info.address(), false, 1));
        loop.run(100);
        restarted.pollsLost = false;
        runWithBeats(10_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }
}
