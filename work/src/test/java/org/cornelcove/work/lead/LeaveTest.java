package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Workers that say that they end. */
class LeaveTest extends TermRig {
    private static final TaskKey TASK = new TaskKey("j", 0, 0, 0);
    /** By which a worker has to have its acknowledgement, before it asks another host. */
    private static final long ACK_MS = 1000;

    private static final long HEARTBEAT_MS = 500;

    private final List<Long> acknowledgedMs = new ArrayList<>();

    private FakeWorkers.Incarnation workerWithLongTask() {
        workers.taskMs = 9000;
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(500);
        workers.add("w2", 1);
        return worker;
    }

    private void leave(String id) {
        leave(id, OptionalLong.of(1));
    }

    private void leave(String id, OptionalLong processStartMs) {
        loop.term.departures().leave(id, processStartMs, () -> acknowledgedMs.add(loop.nowMs()));
    }

    /** Guards against a task that starts elsewhere while the worker, without an acknowledgement, works on. */
    @ParameterizedTest
    @ValueSource(longs = {500, 3000, 8000})
    void aTaskOfALeavingWorkerThatCannotBeReachedDoesNotRunTwice(long endsAnywayMs) {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        leaving.silent = true;
        leave("w1");
        loop.later(endsAnywayMs, leaving::crash);
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Guards against a planned scale-in whose tasks wait for a lease. */
    @Test
    void aTaskOfALeavingWorkerIsStoppedAndStartsElsewhereAtOnce() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        long sentMs = loop.nowMs();
        leave("w1");
        loop.run(300);
        assertThat(leaving.running.keySet(), empty());
        assertThat(acknowledgedMs.size(), is(1));
        assertThat(acknowledgedMs.get(0) - sentMs, lessThanOrEqualTo(ACK_MS));
        assertThat(workers.starts.get(TASK), is(2));
        leaving.crash();
        runWithBeats(12_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    /** Lets time pass in which both workers send heartbeats, and the first one drains. */
    private void runDraining(long ms, FakeWorkers.Incarnation draining, long endsAtMs) {
        for (long passedMs = 0; passedMs < ms; passedMs += HEARTBEAT_MS) {
            long remainingMs = Math.max(0, endsAtMs - loop.nowMs());
            WorkerInfo first = draining.info;
            WorkerInfo second = workers.incarnations.get("w2").info;
            loop.term.announce(
                    workers.info(first.id(), 1, first.address(), true, OptionalLong.of(remainingMs), loop.nowMs()));
            loop.term.announce(workers.info(second.id(), 1, second.address(), false, loop.nowMs()));
            loop.run(HEARTBEAT_MS);
        }
    }

    /** Guards against tasks of a planned scale-in that wait for a lease, since their worker ends as it says so. */
    @Test
    void aTaskThatOutlastsADrainingWorkerStartsElsewhereBeforeItsEnd() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        long endsAtMs = loop.nowMs() + 4000;
        runDraining(3000, leaving, endsAtMs);
        assertThat("runs as long as it may end there", leaving.running.size(), is(1));
        runDraining(1000, leaving, endsAtMs);
        assertThat(leaving.running.keySet(), empty());
        leaving.crash();
        leave("w1");
        assertThat("acknowledged at once", acknowledgedMs.size(), is(1));
        assertThat("starts elsewhere before the end", workers.starts.get(TASK), is(2));
        runWithBeats(11_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    @Test
    void aTaskThatEndsBeforeItsDrainingWorkerIsNotStopped() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        runDraining(11_000, leaving, loop.nowMs() + 10_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.get(TASK), is(1));
    }

    @Test
    void aDrainingWorkerThatStaysLongerThanItSaidKeepsItsTask() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        runDraining(2000, leaving, loop.nowMs() + 4000);
        runDraining(9000, leaving, loop.nowMs() + 12_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.get(TASK), is(1));
    }

    @Test
    void anIdleWorkerIsAcknowledgedAtOnceAndGetsNothingMore() {
        workers.add("w1", 1);
        loop.run(100);
        leave("w1");
        leave("w1");
        leave("unknown");
        assertThat(acknowledgedMs.size(), is(3));
        submit(Steps.job("j", Steps.plain(1)));
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.QUEUED));
    }

    @Test
    void eachLeaveOfAnUnreachableWorkerIsAcknowledgedInTime() {
        workerWithLongTask().silent = true;
        long sentMs = loop.nowMs();
        leave("w1");
        loop.run(300);
        leave("w1");
        loop.run(2 * ACK_MS);
        assertThat(acknowledgedMs.size(), is(2));
        assertThat(acknowledgedMs.get(1) - sentMs, lessThanOrEqualTo(ACK_MS));
    }

    @Test
    void aLeavingWorkerThatRestartsReleasesItsTasksAtOnce() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        leaving.silent = true;
        leave("w1");
        loop.run(200);
        leaving.crash();
        workers.add("w1", 2, leaving.info.address());
        loop.run(500);
        assertThat(workers.starts.get(TASK), is(2));
        assertThat(workers.faults, empty());
    }

    /** The start that was under way when the message came is carried out late, on a worker that works on. */
    @Test
    void aStartUnderWayOnALeavingWorkerDoesNotRunTwice() {
        workers.taskMs = 3000;
        FakeWorkers.Incarnation leaving = workers.add("w1", 1);
        leaving.lateStartMs = 2000;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(100);
        workers.add("w2", 1);
        leave("w1");
        loop.later(6000, leaving::crash);
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** The leader that got the message is replaced before the worker ends. */
    @Test
    void aNewLeaderThatDidNotGetTheMessageWaitsForTheLease() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        leaving.silent = true;
        leave("w1");
        loop.run(200);
        lead();
        loop.later(4000, leaving::crash);
        runWithBeats(22_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Regression test for TWICE: a leader that has sent no lease itself took that of the earlier one for expired. */
    @Test
    void aNewLeaderWaitsForTheLeaseThatTheEarlierOneGaveToALeavingWorker() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        lead();
        leaving.stopsLost = true;
        leave("w1");
        loop.run(100);
        assertThat(leaving.running.size(), is(1));
        leaving.silent = true;
        runWithBeats(20_000);
        assertThat(workers.faults, empty());
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    /** Guards against a late message of an earlier life that ends the new one, whose tasks then run twice. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMessageOfAnEarlierLifeChangesNothing(boolean named) {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        loop.run(100);
        old.crash();
        FakeWorkers.Incarnation next = workers.add("w1", 2, old.info.address());
        workers.taskMs = 3000;
        submit(Steps.job("j", Steps.plain(3)));
        loop.run(500);
        workers.add("w2", 1);
        leave("w1", named ? OptionalLong.of(1) : OptionalLong.empty());
        leave("w1", OptionalLong.of(1));
        assertThat("acknowledged at once", acknowledgedMs.size(), is(2));
        loop.run(1000);
        assertThat("runs on", next.running.size(), is(3));
        submit(Steps.job("k", Steps.plain(12)));
        runWithBeats(8000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(phase("k"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values(), everyItem(is(1)));
        assertThat("is used", next.highest.keySet().stream().map(TaskKey::jobId).toList(), hasItem("k"));
        assertThat(workers.faults, empty());
    }

    @Test
    void aMessageThatNamesNoLifeIsTakenFromAWorkerThatDrains() {
        FakeWorkers.Incarnation leaving = workerWithLongTask();
        loop.term.announce(workers.info("w1", 1, leaving.info.address(), true, 2));
        leave("w1", OptionalLong.empty());
        loop.run(300);
        assertThat(leaving.running.keySet(), empty());
        assertThat(workers.starts.get(TASK), is(2));
        assertThat(workers.faults, empty());
    }
}
