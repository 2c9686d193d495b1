package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** A worker that starts again under its id, and takes orders that the leader meant for its earlier incarnation. */
class RestartedWorkerTest extends TermRig {
    /** What first tells the leader of the restart, after its orders have reached the new incarnation. */
    private enum News {
        POLL,
        HEARTBEAT,
        NEXT_LEADER
    }

    /** Regression test for TWICE: a task started on a restarted worker was started on another one beside it. */
    @ParameterizedTest
    @EnumSource
    void aTaskThatTheNewIncarnationStartedDoesNotRunBesideAnother(News news) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.crash();
        workers.restart("w1", 2).pollsLost = news != News.POLL;
        submit(Steps.job("j", Steps.plain(4)));
        loop.run(20);
        workers.add("w2", 1);
        if (news == News.NEXT_LEADER) {
            workers.beat(1);
            lead();
        }
        workers.incarnations.get("w1").pollsLost = false;
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** The new incarnation may have the run although it never answers; its lease is the longest that a worker accepts. */
    @Test
    void aTaskWaitsForTheLeaseOfANewIncarnationThatIsSilent() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.pollsLost = true;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        loop.term.announce(workers.info("w1", 2, old.info.address(), false, 1));
        restarted.silent = true;
        restarted.leaseMs = loop.nowMs() + SETTINGS.maxLeaseMs();
        workers.taskMs = 60_000;
        workers.add("w2", 1);
        runWithBeats(5000);
        assertThat(workers.incarnations.get("w2").running.size(), is(0));
        runWithBeats(5000);
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
        assertThat(workers.faults, empty());
    }

    /** Regression test for TWICE: the lease of a new incarnation that no message names was bounded by the earlier one's clock. */
    @Test
    void aTaskWaitsForTheLeaseOfASilentWorkerThatMayHaveRestarted() {
        workers.add("w1", 1).crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.pollsLost = true;
        workers.taskMs = 60_000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(20);
        assertThat("runs there", restarted.running.size(), is(1));
        restarted.silent = true;
        restarted.leaseMs = loop.nowMs() + SETTINGS.maxLeaseMs();
        workers.add("w2", 1);
        runWithBeats(20_000);
        assertThat(workers.incarnations.get("w2").running.size(), is(1));
        assertThat(workers.faults, empty());
    }

    /** Regression test for TWICE: a start without an answer was carried out by the incarnation after the one it was sent to. */
    @ParameterizedTest
    @ValueSource(longs = {300, 2000, 4000, 12_000})
    void aStartThatTheNewIncarnationCarriesOutLateDoesNotRunBesideAnother(long lateMs) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        old.crash();
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.lateStartMs = lateMs;
        submit(Steps.job("j", Steps.plain(4)));
        loop.run(100);
        workers.add("w2", 1);
        runWithBeats(3000);
        restarted.lateStartMs = 0;
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Regression test for TWICE: an end on the new incarnation was acknowledged by the numbers of the earlier one's ends. */
    @ParameterizedTest
    @EnumSource
    void anEndOnTheNewIncarnationIsNotAcknowledgedWithTheCountOfTheEarlierOne(News news) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        submit(Steps.job("before", Steps.plain(6)));
        runWithBeats(2000);
        assertThat(phase("before"), is(JobPhase.COMPLETED));
        old.crash();
        endOnTheNewIncarnation(news);
    }

    /** The same while an end of the earlier incarnation waits for its acknowledgement. */
    @ParameterizedTest
    @EnumSource
    void anEndOnTheNewIncarnationIsNotAcknowledgedForOneOfTheEarlierOne(News news) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        submit(Steps.job("before", Steps.plain(1)));
        while (old.ended.isEmpty()) {
            loop.run(1);
        }
        loop.run(3);
        old.crash();
        endOnTheNewIncarnation(news);
        assertThat(phase("before"), is(JobPhase.COMPLETED));
    }

    private void endOnTheNewIncarnation(News news) {
        FakeWorkers.Incarnation restarted = workers.restart("w1", 2);
        restarted.pollsLost = true;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(700);
        assertThat("has ended there", restarted.lastEnd, is(1L));
        restarted.pollsLost = false;
        restarted.pollAnswersLost = news != News.POLL;
        loop.run(700);
        if (news == News.NEXT_LEADER) {
            workers.beat(1);
            lead();
        }
        restarted.pollAnswersLost = false;
        workers.add("w2", 1);
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat("is acknowledged", restarted.ended, empty());
    }
}
