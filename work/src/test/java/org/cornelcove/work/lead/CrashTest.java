package org.cornelcove.work.lead;

import java.util.List;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.state.Task;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class CrashTest extends TermRig {
    private static final int WORKERS = 8;
    private static final int DAY_S = 60;
    /** Three crashes, and two more starts that may be under way. */
    private static final int MAX_STARTS = 5;

    private static final TaskKey DEADLY = new TaskKey("deadly", 0, 0, 0);

    private enum Kind {
        PLAIN(Steps.plain(3)),
        COPIES(Steps.copies(3)),
        GANG(Steps.gang(2)),
        LASTING(Steps.lasting("image", 1000, 0)),
        FILL(Steps.fill("image", 1000));

        private final StepSpec step;

        Kind(StepSpec step) {
            this.step = step;
        }
    }

    private void addWorkers() {
        for (int i = 0; i < WORKERS; i++) {
            workers.add("w" + i, 1);
        }
    }

    /** Runs for a minute with a job of two steps each second; returns how many of these were submitted. */
    private int runADay(int leaderChangeS) {
        for (int second = 0; second < DAY_S; second++) {
            submit(Steps.job("j" + second, Steps.plain(6), Steps.plain(3, 0)));
            runWithBeats(1000);
            if (leaderChangeS > 0 && second % leaderChangeS == leaderChangeS - 1) {
                lead();
            }
        }
        runWithBeats(20_000);
        return DAY_S;
    }

    private void assertCompleted(int jobs) {
        for (int job = 0; job < jobs; job++) {
            assertThat("j" + job, phase("j" + job), is(JobPhase.COMPLETED));
        }
        assertThat(workers.faults, is(List.of()));
    }

    /** Regression test for BUDGET: a task that crashed each worker it started on was started without end. */
    @ParameterizedTest
    @EnumSource
    void aTaskThatCrashesWorkerAfterWorkerIsGivenUp(Kind kind) {
        addWorkers();
        for (int index = 0; index < (kind == Kind.GANG ? kind.step.count() : 1); index++) {
            workers.deadly.add(new TaskKey("deadly", 0, 0, index));
        }
        submit(Steps.job("deadly", kind.step));
        int others = runADay(0);
        assertThat(workers.starts.get(DEADLY), lessThanOrEqualTo(MAX_STARTS));
        assertThat(phase("deadly"), is(JobPhase.FAILED));
        assertCompleted(others);
    }

    /** The count of crashes outlasts leaders, and leases that expire before the worker is back. */
    @ParameterizedTest
    @CsvSource({"3000, 4", "3000, 10", "9000, 0", "9000, 20"})
    void aTaskThatCrashesWorkersIsGivenUpByTheNextLeader(long returnMs, int leaderChangeS) {
        addWorkers();
        workers.returnMs = returnMs;
        workers.deadly.add(DEADLY);
        submit(Steps.job("deadly", Steps.plain(3)));
        int others = runADay(leaderChangeS);
        assertThat(workers.starts.get(DEADLY), lessThanOrEqualTo(MAX_STARTS));
        assertThat(phase("deadly"), is(JobPhase.FAILED));
        assertCompleted(others);
    }

    /** Load pattern: a rack loses power again and again, and each time with tasks that have just started. */
    @Test
    void noJobIsGivenUpForCrashesThatItDidNotCause() {
        addWorkers();
        for (int i = 1; i <= 9; i++) {
            loop.later(i * 4000L, () -> List.copyOf(workers.incarnations.values()).stream()
                    .filter(worker -> worker.up && worker.info.address().compareTo("10.0.0.1:1003") < 0)
                    .forEach(workers::crashAndReturn));
        }
        assertCompleted(runADay(0));
    }

    /** Regression test for LOST: one crash counted twice for a task, also for a run that was over since an expired lease. */
    @Test
    void oneCrashCountsOnceForATaskWhoseEarlierRunLapsedOnTheSameWorker() {
        FakeWorkers.Incarnation worker = workers.add("w0", 1);
        workers.taskMs = DAY_S * 1000L;
        runWithBeats(1000);
        worker.silent = true;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(10_000);
        worker.silent = false;
        runWithBeats(2000);
        Task task = state.job("j").orElseThrow().task(new TaskKey("j", 0, 0, 0)).orElseThrow();
        assertThat("the first run lapsed", task.runs().get(0).runId(), greaterThan(1));
        workers.crashAndReturn(worker);
        runWithBeats(5000);
        assertThat(task.crashes(), is(1));
    }

    /** Guards against tasks that are blamed for the end of a worker that had said it would end. */
    @ParameterizedTest
    @CsvSource({"false, 1", "true, 0"})
    void theEndOfADrainingWorkerIsNoCrash(boolean draining, int crashes) {
        FakeWorkers.Incarnation worker = workers.add("w0", 1);
        workers.taskMs = DAY_S * 1000L;
        submit(Steps.job("j", Steps.plain(1)));
        loop.run(200);
        loop.term.announce(workers.info("w0", 1, worker.info.address(), draining, 2));
        workers.crashAndReturn(worker);
        runWithBeats(5000);
        Task task = state.job("j").orElseThrow().task(new TaskKey("j", 0, 0, 0)).orElseThrow();
        assertThat("it starts again", task.lastRunId(), greaterThan(1));
        assertThat(task.crashes(), is(crashes));
    }
}
