package org.cornelcove.policy.quarantine;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class WorkerHealthTest {
    private static final HostId BAD = HostId.of("w0");

    static WorkerHealth health(int workers, int percent) {
        WorkerHealth health = WorkerHealth.of(percent);
        for (int i = 0; i < workers; i++) {
            health.add(HostId.of("w" + i));
        }
        return health;
    }

    static void fail(WorkerHealth health, HostId host, int from, int count, long nowMs) {
        for (int i = from; i < from + count; i++) {
            health.failed(host, JobId.of("j" + i), nowMs);
        }
    }

    @ParameterizedTest(name = "{0} workers, {1}%, {2} failures")
    @CsvSource({"45, 10, 2, 2147483647", "45, 10, 3, 0", "9, 10, 3, 1", "10, 10, 3, 0"})
    void distinctFailuresQuarantineWithinTheShare(int workers, int percent, int failures, int maxAttempts) {
        WorkerHealth health = health(workers, percent);
        fail(health, BAD, 0, failures, 0);
        assertThat(health.maxAttempts(BAD, 0), is(maxAttempts));
    }

    @Test
    void repeatedFailuresOfOneJobCountOnce() {
        WorkerHealth health = health(45, 10);
        for (int i = 0; i < 5; i++) {
            fail(health, BAD, 1, 1, i);
        }
        assertThat(health.maxAttempts(BAD, 5), is(WorkerHealth.UNLIMITED));
    }

    @Test
    void jobsThatFailEverywhereClearTheWorkers() {
        WorkerHealth health = health(45, 10);
        for (int job = 0; job < 10; job++) {
            for (int worker = 0; worker < 3; worker++) {
                fail(health, HostId.of("w" + worker), job, 1, 0);
            }
            assertThat(health.healthyWorkersFailedOn(JobId.of("j" + job)), is(3));
        }
        assertThat(health.quarantined(0), is(0));
    }

    @Test
    void failuresOnAQuarantinedWorkerDoNotCountAgainstTheJob() {
        WorkerHealth health = health(45, 10);
        fail(health, BAD, 0, 3, 0);
        assertThat(health.healthyWorkersFailedOn(JobId.of("j0")), is(0));
        assertThat(health.healthyWorkersFailedOn(JobId.of("j2")), is(0));
    }

    @Test
    void probationIsOneAtATimeAndOneFailureEndsIt() {
        WorkerHealth health = health(45, 10);
        fail(health, BAD, 0, 3, 0);
        assertThat(health.maxAttempts(BAD, 60_000), is(1));
        fail(health, BAD, 3, 1, 60_000);
        assertThat("the quarantine period doubles", health.maxAttempts(BAD, 179_999), is(0));
        assertThat(health.maxAttempts(BAD, 180_000), is(1));
        for (int i = 0; i < 3; i++) {
            health.succeeded(BAD, JobId.of("k" + i));
        }
        assertThat(health.maxAttempts(BAD, 180_000), is(WorkerHealth.UNLIMITED));
        assertThat(health.restricted().isEmpty(), is(true));
    }

    /** Guards against a worker that is restricted for as long as its only attempt runs, which may be hours. */
    @ParameterizedTest(name = "{0} workers")
    @CsvSource({"45, 660000", "9, 600000"})
    void aRestrictionWithoutFurtherFailuresEnds(int workers, long liftedMs) {
        WorkerHealth health = health(workers, 10);
        fail(health, BAD, 0, 3, 0);
        assertThat(health.maxAttempts(BAD, liftedMs - 1), is(1));
        assertThat(health.maxAttempts(BAD, liftedMs), is(WorkerHealth.UNLIMITED));
        assertThat(health.restricted().isEmpty(), is(true));
        fail(health, BAD, 3, 1, liftedMs);
        assertThat(health.maxAttempts(BAD, liftedMs), is(WorkerHealth.UNLIMITED));
    }

    @Property(seed = "61", tries = 60)
    void shareInQuarantineIsNeverExceeded(
            @ForAll @IntRange(min = 1, max = 60) int workers,
            @ForAll @IntRange(min = 0, max = 50) int percent,
            @ForAll long seed) {
        WorkerHealth health = health(workers, percent);
        Random random = new Random(seed);
        for (int step = 0; step < 500; step++) {
            long nowMs = step * 500L;
            HostId host = HostId.of("w" + random.nextInt(workers));
            JobId job = JobId.of("j" + random.nextInt(1000));
            if (random.nextInt(5) == 0) {
                health.succeeded(host, job);
            } else {
                health.failed(host, job, nowMs);
            }
            assertThat(health.quarantined(nowMs) * 100, lessThanOrEqualTo(percent * workers));
        }
    }

    @ParameterizedTest
    @CsvSource({"7, 0, true", "8, 0, false", "8, 1, true"})
    void kindThatKeepsFailingTakesFewPlaces(int failures, int successes, boolean mayStart) {
        KindTrial trial = KindTrial.create();
        for (int i = 0; i < failures + successes + 8; i++) {
            trial.started("noisy");
        }
        for (int i = 0; i < failures; i++) {
            trial.failed("noisy");
        }
        for (int i = 0; i < successes; i++) {
            trial.succeeded("noisy");
        }
        assertThat(trial.mayStart("noisy"), is(mayStart));
        assertThat(trial.mayStart("other"), is(true));
    }
}
