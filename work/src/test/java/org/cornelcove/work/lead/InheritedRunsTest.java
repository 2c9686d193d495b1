package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.state.WorkCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Runs of an earlier leader on several incarnations of a worker. */
class InheritedRunsTest extends TermRig {
    /** Guards against runs that stay for good because their worker was replaced by a later incarnation under its id. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void runsOfTwoIncarnationsOfAWorkerEnd(boolean laterFirst) {
        workers.add("w1", 1).crash();
        loop.run(50);
        submit(Steps.job("j", Steps.plain(2)));
        start(0, laterFirst ? 2 : 1);
        start(1, laterFirst ? 1 : 2);
        lead();
        workers.add("w2", 1);
        runWithBeats(30_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.faults, empty());
    }

    private void start(int index, long workerStartMs) {
        apply(new WorkCommand.Start(new TaskKey("j", 0, 0, index), 1, "w1", workerStartMs, loop.wallMs()));
    }
}
