package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.Schedule;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.plan.Interference;
import org.cornelcove.work.state.WorkCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class TermTest extends TermRig {
    @Test
    void eachTaskOfAJobRunsOnce() {
        workers.add("w1", 1);
        workers.add("w2", 1);
        submit(Steps.job("j", Steps.plain(12), Steps.plain(3, 0)));
        runWithBeats(4000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.size(), is(15));
        assertThat(workers.starts.values(), everyItem(is(1)));
        assertThat(workers.faults, empty());
    }

    @ParameterizedTest
    @ValueSource(longs = {300, 2000, 4000, 12_000})
    void aStartThatIsCarriedOutLateDoesNotRunBesideAnother(long lateMs) {
        workers.add("w1", 1).lateStartMs = lateMs;
        submit(Steps.job("j", Steps.plain(2)));
        loop.run(100);
        workers.add("w2", 1);
        runWithBeats(3000);
        workers.incarnations.get("w1").lateStartMs = 0;
        runWithBeats(15_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    @Test
    void tasksOfASilentWorkerWaitUntilItsLeaseHasExpired() {
        FakeWorkers.Incarnation cut = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(100);
        cut.silent = true;
        workers.add("w2", 1);
        runWithBeats(3000);
        assertThat(phase("j"), is(JobPhase.RUNNING));
        runWithBeats(6000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    @Test
    void aNewIncarnationOfAWorkerReleasesTheTasksOfTheOldOne() {
        FakeWorkers.Incarnation old = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(3)));
        loop.run(100);
        old.crash();
        workers.add("w1", 2, old.info.address());
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    @Test
    void aLateHeartbeatOfAnEarlierIncarnationAtTheSameAddressIsIgnored() {
        FakeWorkers.Incarnation old = workers.add("w1", 1, "10.0.0.1:1");
        old.crash();
        workers.add("w2", 2, "10.0.0.1:1");
        loop.term.announce(workers.info("w1", 1, "10.0.0.1:1", false, 9));
        submit(Steps.job("j", Steps.plain(3)));
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values(), everyItem(is(1)));
    }

    @Test
    void aNewLeaderKeepsActiveRuns() {
        workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(5)));
        loop.run(200);
        lead();
        workers.beat(loop.nowMs());
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values(), everyItem(is(1)));
        assertThat(workers.faults, empty());
    }

    @Test
    void aNewLeaderWaitsForTheLeasesOfUnreachableWorkers() {
        workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(2)));
        loop.run(200);
        busy().silent = true;
        lead();
        workers.add("w2", 1);
        runWithBeats(5000);
        assertThat(phase("j"), is(JobPhase.RUNNING));
        runWithBeats(4000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 4000})
    void allRunsOfACancelledJobStop(long lateStartMs) {
        FakeWorkers.Incarnation incarnation = workers.add("w1", 1);
        incarnation.lateStartMs = lateStartMs;
        submit(Steps.job("j", Steps.lasting("i", 1000, 0)));
        loop.run(100);
        cancel("j");
        incarnation.lateStartMs = 0;
        runWithBeats(8000);
        assertThat(incarnation.running.keySet(), empty());
        assertThat(
                state.job("j")
                        .orElseThrow()
                        .task(new TaskKey("j", 0, 0, 0))
                        .orElseThrow()
                        .runs(),
                empty());
    }

    @Test
    void jobsCompleteDespiteAWorkerThatFailsEveryRun() {
        workers.add("w1", 1).fails = true;
        workers.add("w2", 1);
        for (int job = 0; job < 6; job++) {
            submit(Steps.job("j" + job, Steps.plain(2)));
        }
        runWithBeats(6000);
        for (int job = 0; job < 6; job++) {
            assertThat(phase("j" + job), is(JobPhase.COMPLETED));
        }
    }

    @Test
    void aLastingTaskIsRestartedAfterEachEnd() {
        workers.add("w1", 1);
        submit(Steps.job("j", Steps.lasting("i", 1000, 0)));
        runWithBeats(3000);
        assertThat(workers.starts.get(new TaskKey("j", 0, 0, 0)), greaterThan(3));
        assertThat(phase("j"), is(JobPhase.RUNNING));
    }

    @Test
    void withoutItsLeaseALeaderOrdersNothing() {
        workers.add("w1", 1);
        loop.leased = false;
        submit(Steps.job("j", Steps.plain(2)));
        runWithBeats(2000);
        assertThat(workers.starts.keySet(), empty());
    }

    @Test
    void aNewLeaderPollsKnownWorkersBeforeTheirHeartbeats() {
        workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(5)));
        loop.run(200);
        lead();
        loop.run(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values(), everyItem(is(1)));
    }

    /** One-way partition: heartbeats arrive, orders do not. The only worker must be used again afterwards. */
    @Test
    void aWorkerThatWasSilentUntilItsLeaseExpiredIsUsedAgain() {
        // Longer than a lease, so that no task ends during the partition.
        workers.taskMs = 6000;
        FakeWorkers.Incarnation cut = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(2)));
        loop.run(100);
        cut.silent = true;
        for (int second = 0; second < 9; second++) {
            loop.term.announce(workers.info("w1", 1, cut.info.address(), false, loop.nowMs()));
            loop.run(1000);
        }
        cut.silent = false;
        runWithBeats(9000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    /**
     * Fill work with little known harm takes a lasting task over its target; with {@code ownLoad}, the task stays over its
     * target by its own load while fill work is paused.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fillWorkIsPausedInTimeAndResumed(boolean ownLoad) {
        apply(new WorkCommand.RecordInterference(List.of(new Interference.Pair("serving", "f", 0.1))));
        lead();
        workers.taskMs = 60_000;
        FakeWorkers.Incarnation incarnation = workers.add("w1", 1);
        submit(Steps.job("s", Steps.lasting("serving", 1000, 50)));
        loop.run(500);
        submit(Steps.job("f", Steps.fill("f", 500)));
        TaskKey fill = new TaskKey("f", 0, 0, 0);
        incarnation.figure = task -> {
            boolean works = workers.paces.getOrDefault(fill, 100) > 0;
            return task.equals(fill) ? works ? 500 : 0 : ownLoad || works ? 60 : 20;
        };
        runWithBeats(1000);
        assertThat("paused in time", occursWithin(3000, () -> workers.paces.getOrDefault(fill, 100) == 0));
        assertThat("resumed", occursWithin(6000, () -> workers.paces.get(fill) > 0));
    }

    /** Load pattern: a busy pool in which lasting tasks need the label of the worker that is left to short work. */
    @Test
    void aLastingTaskThatNeedsALabelStartsOnAReservedWorker() {
        workers.labels.put("w0", "special");
        for (int i = 0; i < 13; i++) {
            workers.add("w" + i, 1);
        }
        workers.taskMs = 60_000;
        for (int i = 0; i < 14; i++) {
            submit(Steps.job("lasting" + i, Steps.lastingOn("a", 8000)));
        }
        runWithBeats(3000);
        submit(Steps.job("special", Steps.lastingOn("special", 8000)));
        runWithBeats(3000);
        assertThat(phase("special"), is(JobPhase.RUNNING));
    }

    private long lastingAtWork() {
        return workers.incarnations.values().stream()
                .filter(incarnation -> !incarnation.running.isEmpty())
                .count();
    }

    /** Load pattern: more lasting tasks than the pool holds; a worker is lost, and its lasting task has to run again at once. */
    @Test
    void lastingTasksLeaveAWorkerToAWideTaskUnlessTheyHaveToRunAgain() {
        for (int i = 0; i < 13; i++) {
            workers.add("w" + i, 1);
        }
        workers.taskMs = 60_000;
        for (int i = 0; i < 13; i++) {
            submit(Steps.job("lasting" + i, Steps.lasting("image", 8000, 50)));
        }
        runWithBeats(3000);
        assertThat(lastingAtWork(), greaterThan(9L));
        workers.taskMs = FakeWorkers.TASK_MS;
        submit(Steps.job("wide", Steps.reserving(8000)));
        runWithBeats(1000);
        assertThat(phase("wide"), is(JobPhase.COMPLETED));
        workers.taskMs = 60_000;
        FakeWorkers.Incarnation lost = busy();
        TaskKey task = lost.running.keySet().iterator().next();
        lost.crash();
        runWithBeats(12_000);
        assertThat(workers.starts.get(task), is(2));
    }

    @Test
    void aStoppedLastingTaskRestartsDespiteContinuousShortWork() {
        FakeWorkers.Incarnation incarnation = workers.add("w1", 1);
        TaskKey lasting = new TaskKey("s", 0, 0, 0);
        workers.taskMs = 60_000;
        submit(Steps.job("s", Steps.lasting("serving", 3000, 0)));
        loop.run(100);
        workers.taskMs = 500;
        for (int tenth = 0; tenth < 90; tenth++) {
            submit(Steps.job("short" + tenth, Steps.plain(8)));
            if (tenth == 10) {
                incarnation.running.remove(lasting);
            }
            workers.beat(loop.nowMs());
            loop.run(100);
        }
        assertThat("starts within 8 s", workers.starts.get(lasting), is(2));
        assertThat(workers.faults, empty());
    }

    @Test
    void aGangWithARefusedMemberIsStoppedAndStartedAsAWhole() {
        workers.taskMs = 60_000;
        FakeWorkers.Incarnation taking = workers.add("w1", 1);
        FakeWorkers.Incarnation full = workers.add("w2", 1);
        submit(Steps.job("s", Steps.lasting("serving", 7000, 0)));
        submit(Steps.job("t", Steps.lasting("serving", 7000, 0)));
        loop.run(200);
        full.full = true;
        submit(Steps.job("g", Steps.gang(2)));
        loop.run(1000);
        assertThat("no member runs alone", runsOf("g", taking), empty());
        full.full = false;
        runWithBeats(3000);
        assertThat(runsOf("g", taking).size(), is(1));
        assertThat("the same run", runsOf("g", taking), is(runsOf("g", full)));
        assertThat(workers.faults, empty());
    }

    private static List<Integer> runsOf(String job, FakeWorkers.Incarnation incarnation) {
        return incarnation.running.entrySet().stream()
                .filter(run -> run.getKey().jobId().equals(job))
                .map(Map.Entry::getValue)
                .toList();
    }

    @Test
    void occurrencesStartWhenTheyAreDueAndMayOverlap() {
        workers.add("w1", 1);
        workers.taskMs = 1500;
        long firstMs = loop.wallMs() + 2000;
        JobSpec once = Steps.job("j", Steps.plain(1));
        submit(new JobSpec(
                "j", once.host(), once.pathPrefix(), once.taskText(), once.steps(), new Schedule(firstMs, 1000, 3)));
        List<Integer> startedBy = new ArrayList<>();
        for (int second = 0; second < 5; second++) {
            runWithBeats(1000);
            startedBy.add(workers.starts.size());
        }
        assertThat(startedBy, is(List.of(0, 0, 1, 2, 3)));
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    private boolean occursWithin(long withinMs, BooleanSupplier what) {
        for (long passedMs = 0; passedMs < withinMs && !what.getAsBoolean(); passedMs += 100) {
            loop.run(100);
        }
        return what.getAsBoolean();
    }
}
