package org.cornelcove.work.lead;

import java.util.List;
import java.util.OptionalLong;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.state.WorkCommand;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/** A worker whose calls throw must not affect the tasks of other workers. */
class UncallableWorkerTest extends TermRig {
    @Test
    void jobsCompleteBesideAWorkerThatCannotBeCalled() {
        workers.add("w1", 1);
        workers.add("w2", 1).throwing = true;
        workers.add("w3", 1);
        for (int job = 0; job < 5; job++) {
            submit(Steps.job("j" + job, Steps.plain(8)));
        }
        runWithBeats(12_000);
        for (int job = 0; job < 5; job++) {
            assertThat(phase("j" + job), is(JobPhase.COMPLETED));
        }
        assertThat(workers.faults, empty());
    }

    /** The entry of such a worker, and a run on it, were in the log before the leader's program was replaced. */
    @Test
    void aNewLeaderCompletesJobsThatItInheritsWithAWorkerThatCannotBeCalled() {
        FakeWorkers.Incarnation odd = workers.add("w1", 1);
        loop.run(100);
        submit(Steps.job("j", Steps.plain(3)));
        apply(new WorkCommand.Start(new TaskKey("j", 0, 0, 0), 1, "w1", 1, loop.wallMs()));
        odd.throwing = true;
        lead();
        workers.add("w2", 1);
        runWithBeats(12_000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
    }

    @Test
    void anEntryOfAnUnknownPoolNeitherTakesAnAddressNorChangesAWorker() {
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        submit(Steps.job("j", Steps.plain(3)));
        loop.run(100);
        for (String id : List.of("w1", "odd")) {
            loop.term.announce(new WorkerInfo(
                    id,
                    9,
                    worker.info.address(),
                    "z",
                    "unknown",
                    false,
                    OptionalLong.empty(),
                    0,
                    1,
                    1,
                    0,
                    List.of(),
                    0,
                    1_000_000));
        }
        workers.add("w2", 1);
        runWithBeats(3000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(workers.starts.values(), everyItem(is(1)));
        assertThat(workers.faults, empty());
    }
}
