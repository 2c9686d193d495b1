package org.cornelcove.control.leader;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** What the leader learns about workers from the ends of attempts. */
class HealthQuarantineTest {
    private static final int FLEET = 45;
    private static final HostId WORKER = HostId.of("w0");

    private final WorkerQuarantine quarantine = Policies.standard().quarantine();

    HealthQuarantineTest() {
        for (int i = 0; i < FLEET; i++) {
            quarantine.mostAttempts(HostId.of("w" + i), 0);
        }
    }

    @ParameterizedTest
    @CsvSource({"FAILED, 0", "LOST, 2147483647", "EVICTED, 2147483647", "FINISHED, 2147483647"})
    void onlyFailuresOfDistinctJobsCloseAWorker(AttemptEnd end, int most) {
        for (int i = 0; i < 5; i++) {
            quarantine.ended(WORKER, job("j" + i), end, i);
        }
        assertThat(quarantine.mostAttempts(WORKER, 10), is(most));
    }

    @Test
    void nobodyIsClosedWhereTheRulesAllowNone() {
        quarantine.setMaxPercent(0);
        for (int i = 0; i < 5; i++) {
            quarantine.ended(WORKER, job("j" + i), AttemptEnd.FAILED, i);
        }
        assertThat(quarantine.mostAttempts(WORKER, 10), is(1));
    }

    private static JobSpec job(String id) {
        return new JobSpec(JobId.of(id), "team", JobKind.BATCH, "task", Resources.of(1000, 1, 0), 1000, false, "");
    }
}
