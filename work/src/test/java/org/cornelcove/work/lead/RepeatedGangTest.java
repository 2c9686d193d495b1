package org.cornelcove.work.lead;

import java.util.List;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.TaskKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RepeatedGangTest extends TermRig {
    private static final int SIZE = 2;

    /**
     * Regression test for MIXED: a gang that repeats was shown as completed before its last occurrence had run. The workers
     * have room for one occurrence at a time.
     */
    @ParameterizedTest
    @CsvSource({"2, false", "2, true", "3, false", "3, true", "5, true"})
    void everyOccurrenceRunsBeforeTheJobIsCompleted(int repeatCount, boolean newLeader) {
        for (int i = 0; i < SIZE; i++) {
            workers.cpuMillis.put("w" + i, 1000);
            workers.add("w" + i, 1);
        }
        submit(Steps.repeated("g", repeatCount, Steps.gang(SIZE)));
        loop.run(300);
        if (newLeader) {
            lead();
        }
        for (int second = 0; second < 20 && !phase("g").ended(); second++) {
            runWithBeats(1000);
        }
        assertThat(phase("g"), is(JobPhase.COMPLETED));
        for (int occurrence = 0; occurrence < repeatCount; occurrence++) {
            for (int index = 0; index < SIZE; index++) {
                TaskKey task = new TaskKey("g", occurrence, 0, index);
                assertThat(task.text(), workers.starts.get(task), is(1));
            }
        }
        assertThat(workers.faults, is(List.of()));
    }
}
