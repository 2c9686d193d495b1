package org.cornelcove.work.lead;

import java.util.List;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.TaskKey;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Quarantines of workers on which runs fail, with tasks that last and never end as done. */
class QuarantineTest extends TermRig {
    /** Within this time a lasting task that has no run gets one, if there is room. */
    private static final long RESTART_MS = 6000;

    private static final long PROVEN_MS = 6000;

    @BeforeEach
    void lastingTasksAreAtWork() {
        workers.taskMs = 3_600_000;
        workers.atWork = true;
    }

    private static TaskKey task(String job, int index) {
        return new TaskKey(job, 0, 0, index);
    }

    private int running() {
        return workers.incarnations.values().stream()
                .mapToInt(worker -> worker.running.size())
                .sum();
    }

    /** Lets a run of each job fail on a worker, before it has proved anything. */
    private void failSoon(String... jobs) {
        for (String job : jobs) {
            submit(Steps.job(job, Steps.lasting(1)));
        }
        loop.run(500);
        for (String job : jobs) {
            workers.fail(task(job, 0));
        }
    }

    /** Guards against workers that get no task while they run any, after runs of two jobs have failed on them. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void aWorkerWithLastingTasksGetsTasksAgain(int count) {
        for (int i = 0; i < count; i++) {
            workers.add("w" + i, 1);
        }
        submit(Steps.job("long", Steps.lasting(3 * count)));
        runWithBeats(PROVEN_MS);
        for (int i = 0; i < count; i++) {
            failSoon("a" + i, "b" + i);
        }
        runWithBeats(RESTART_MS);
        assertThat(running(), is(3 * count + 2 * count));
        assertThat(workers.faults, empty());
    }

    /** Guards against a sound worker that is quarantined because tasks that last fail by themselves now and then. */
    @Test
    void failuresAfterSomeTimeAtWorkAreNotAttributedToTheWorker() {
        workers.add("w1", 1);
        submit(Steps.job("a", Steps.lasting(2)));
        submit(Steps.job("b", Steps.lasting(2)));
        runWithBeats(PROVEN_MS);
        workers.fail(task("a", 0));
        workers.fail(task("b", 0));
        loop.run(500);
        assertThat(running(), is(4));
    }

    /** Guards against lasting tasks that wait for the end of a long quarantine of the only worker with room. */
    @Test
    void aLastingTaskIsTriedOnAWorkerInALongQuarantine() {
        workers.add("w1", 1);
        failSoon("a", "b");
        for (int i = 0; i < 3; i++) {
            runWithBeats(RESTART_MS);
            workers.incarnations.get("w1").running.keySet().stream().toList().forEach(workers::fail);
        }
        runWithBeats(RESTART_MS);
        assertThat(running() >= 1, is(true));
        runWithBeats(RESTART_MS);
        assertThat(running(), is(2));
    }

    @Test
    void aWorkerOnProbationGetsOneTaskAtATimeAlsoWithinOnePass() {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        workers.taskMs = FakeWorkers.TASK_MS;
        worker.fails = true;
        submit(Steps.job("a", Steps.plain(1)));
        submit(Steps.job("b", Steps.plain(1)));
        runWithBeats(1000);
        worker.fails = false;
        workers.taskMs = 2000;
        submit(Steps.job("c", Steps.plain(6)));
        int most = 0;
        for (int i = 0; i < 5; i++) {
            runWithBeats(1000);
            most = Math.max(most, running());
        }
        assertThat(most, lessThanOrEqualTo(1));
        runWithBeats(8000);
        assertThat(List.copyOf(worker.running.keySet()), empty());
        assertThat(phase("c").ended(), is(true));
    }

    /** Guards against a worker on probation that is kept from a trial by a long task that it had before the verdict. */
    @Test
    void aLongTaskFromBeforeTheVerdictDoesNotKeepOutATrial() {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("long", Steps.plain(1)));
        runWithBeats(1000);
        workers.taskMs = FakeWorkers.TASK_MS;
        workers.atWork = false;
        worker.fails = true;
        submit(Steps.job("a", Steps.plain(1)));
        submit(Steps.job("b", Steps.plain(1)));
        runWithBeats(1000);
        worker.fails = false;
        submit(Steps.job("c", Steps.plain(1)));
        runWithBeats(RESTART_MS);
        assertThat(phase("c").ended(), is(true));
        assertThat(worker.running.size(), is(1));
    }

    /** Guards against a verdict that one task, which never ends, keeps for good. */
    @Test
    void aVerdictGrowsOldWhileATaskRuns() {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        workers.taskMs = FakeWorkers.TASK_MS;
        worker.fails = true;
        submit(Steps.job("a", Steps.plain(1)));
        submit(Steps.job("b", Steps.plain(1)));
        runWithBeats(1000);
        worker.fails = false;
        workers.taskMs = 3_600_000;
        workers.atWork = false;
        submit(Steps.job("c", Steps.plain(6)));
        runWithBeats(60_000);
        assertThat(worker.running.size(), is(8));
    }
}
