package org.cornelcove.work.lead;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.cornelcove.work.job.WorkerInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WorkerTest {
    /** Guards against a worker without runs that gets no tasks for good, since only the answer to a poll lifts what bars it. */
    @ParameterizedTest
    @CsvSource({
        "false, 0, 0, false",
        "true, 0, 0, true",
        "false, 2, 0, true",
        "true, 0, 3600, false",
        "false, 2, 3600, false"
    })
    void anIdleWorkerIsPolledWhileItSendsHeartbeatsAndGetsNoTasks(
            boolean replaced, int failures, long heardMsAgo, boolean polled) {
        Worker worker = new Worker("w", 1);
        worker.info = Optional.of(new WorkerInfo(
                "w", 1, "10.0.0.1:1", "z", "pool", false, OptionalLong.empty(), 0, 1000, 1000, 0, List.of(), 0, 1));
        worker.recordContact(10_000, OptionalLong.of(5));
        worker.replaced = replaced;
        worker.holdFailures = failures;
        assertThat(worker.needsPoll(10_000 + heardMsAgo), is(polled));
    }
}
