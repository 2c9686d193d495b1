package org.cornelcove.work.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Quarantines a worker by the results of its runs. Failures of several jobs in a row, without a success in between, are
 * attributed to the worker rather than to the jobs: it then gets no task for some time, and after that one task at a time
 * until one succeeds or the verdict is too old.
 *
 * <p>Load pattern: a tenth of the workers fails or stalls every run while its health check passes. Counting failures per
 * second was rejected: a job that can never succeed fails as often and would exclude healthy workers.
 *
 * <p>Load pattern: a pool runs tasks that last, and never end as done, on all workers; some fail now and then. A verdict that
 * only such an end lifts excluded one worker after the other.
 */
public final class WorkerHealth {
    /** Distinct jobs that fail in a row before a worker is quarantined; a single one may be at fault itself. */
    private static final int FAILED_JOBS_LIMIT = 2;
    /** Length of the first quarantine, about the shortest time for which workers were seen to fail. */
    private static final long FIRST_QUARANTINE_MS = 4000;
    /** Upper bound of a quarantine, which doubles each time. */
    private static final long MAX_QUARANTINE_MS = 15_000;
    /** Time after a quarantine without another failure, after which the verdict is lifted. */
    private static final long PROBATION_MS = 15_000;
    /** Age at which a failure that led to no quarantine is forgotten. */
    private static final long FAILURE_MEMORY_MS = 60_000;
    /** Placement cost of each distinct job that failed in a row. */
    private static final double FAILURE_COST = 0.7;

    /** When each job last failed. */
    private final Map<String, Long> failedInRow = new HashMap<>();

    private long lastFailedMs = Long.MIN_VALUE / 2;
    private long quarantinedUntilMs;
    /** Length of the latest quarantine; 0 if there is no verdict. */
    private long quarantineMs;

    /** Records a run that succeeded. */
    public void succeeded() {
        failedInRow.clear();
        quarantinedUntilMs = 0;
        quarantineMs = 0;
    }

    /**
     * Records a run that failed, stalled or was refused by the worker.
     *
     * @param jobId the job
     * @param nowMs the time on a monotonic clock
     */
    public void failed(String jobId, long nowMs) {
        forgetOld(nowMs);
        failedInRow.put(jobId, nowMs);
        lastFailedMs = nowMs;
        if (failedInRow.size() >= FAILED_JOBS_LIMIT && nowMs >= quarantinedUntilMs) {
            quarantineMs = quarantineMs == 0 ? FIRST_QUARANTINE_MS : Math.min(MAX_QUARANTINE_MS, 2 * quarantineMs);
            quarantinedUntilMs = nowMs + quarantineMs;
        }
    }

    private void forgetOld(long nowMs) {
        if (quarantineMs == 0) {
            failedInRow.values().removeIf(failedMs -> nowMs - failedMs >= FAILURE_MEMORY_MS);
        } else if (nowMs >= Math.max(quarantinedUntilMs, lastFailedMs) + PROBATION_MS) {
            succeeded();
        }
    }

    /**
     * Checks whether the worker gets no tasks now.
     *
     * @param nowMs the time on a monotonic clock
     * @return true until the end of the quarantine
     */
    public boolean quarantined(long nowMs) {
        return nowMs < quarantinedUntilMs;
    }

    /**
     * Checks whether a quarantined worker may be tried with a task that may fail any number of times.
     *
     * @param nowMs the time on a monotonic clock
     * @return false for the length of the first quarantine after each failure
     */
    public boolean mayBeTried(long nowMs) {
        return nowMs - lastFailedMs >= FIRST_QUARANTINE_MS;
    }

    /**
     * Checks whether the worker may run only one more task at a time.
     *
     * @param nowMs the time on a monotonic clock
     * @return true from the first quarantine until a run succeeds, or none has failed for some time
     */
    public boolean onProbation(long nowMs) {
        forgetOld(nowMs);
        return quarantineMs > 0;
    }

    /**
     * Returns when a run last failed. Only runs that were placed later show whether the worker is sound again.
     *
     * @return the time on a monotonic clock, long ago if none failed
     */
    public long lastFailedMs() {
        return lastFailedMs;
    }

    /**
     * Returns the placement cost of the recent failures.
     *
     * @param nowMs the time on a monotonic clock
     * @return 0 for a worker without failures since the last success
     */
    public double failurePenalty(long nowMs) {
        forgetOld(nowMs);
        return failedInRow.size() * FAILURE_COST;
    }
}
