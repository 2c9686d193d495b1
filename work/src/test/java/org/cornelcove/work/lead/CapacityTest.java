package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class CapacityTest extends TermRig {
    private static final int TASK_MILLIS = 1000;

    private void resize(FakeWorkers.Incarnation worker, int runs) {
        workers.cpuMillis.put(worker.info.id(), runs * TASK_MILLIS);
        workers.beat(loop.nowMs());
        // Starts that were committed before the heartbeat may still arrive.
        loop.run(200);
        worker.maxRuns = runs;
    }

    /** Load pattern: the capacity of unguarded workers shrinks below what runs there and grows again, beside a backlog. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 7})
    void aWorkerThatShrinksIsNotOverloadedAndIsUsedAgainWhenItGrows(int shrunkRuns) {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        for (int round = 0; round < 4; round++) {
            submit(Steps.job("j" + round, Steps.plain(30)));
            runWithBeats(1000);
            resize(worker, shrunkRuns);
            if (round == 2) {
                lead();
            }
            runWithBeats(3000);
            worker.maxRuns = Integer.MAX_VALUE;
            resize(worker, FakeWorkers.CPU_MILLIS / TASK_MILLIS);
            runWithBeats(3000);
        }
        runWithBeats(5000);
        for (int round = 0; round < 4; round++) {
            assertThat(phase("j" + round), is(JobPhase.COMPLETED));
        }
        assertThat(workers.faults, empty());
    }
}
