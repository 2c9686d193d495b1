package org.cornelcove.work.plan;

import java.util.HashSet;
import java.util.Set;

/**
 * Quarantines a worker by the results of its runs. Failures of several jobs in a row, without a success in between, are
 * attributed to the worker rather than to the jobs: it then gets no task for some time, and after that one task at a time
 * until one succeeds.
 *
 * <p>Load pattern: a tenth of the workers fails or stalls every run while its health check passes. Counting failures per
 * second was rejected: a job that can never succeed fails as often and would exclude healthy workers.
 */
public final class WorkerHealth {
    /** Distinct jobs that fail in a row before a worker is quarantined; a single one may be at fault itself. */
    private static final int FAILED_JOBS_LIMIT = 2;
    /** Length of the first quarantine, about the shortest time for which workers were seen to fail. */
    private static final long FIRST_QUARANTINE_MS = 4000;
    /** Upper bound of a quarantine, which doubles each time. */
    private static final long MAX_QUARANTINE_MS = 15_000;
    /** Placement cost of each distinct job that failed in a row. */
    private static final double FAILURE_COST = 0.7;

    private final Set<String> failedInRow = new HashSet<>();
    private long quarantinedUntilMs;
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
        failedInRow.add(jobId);
        if (failedInRow.size() >= FAILED_JOBS_LIMIT && nowMs >= quarantinedUntilMs) {
            quarantineMs = quarantineMs == 0 ? FIRST_QUARANTINE_MS : Math.min(MAX_QUARANTINE_MS, 2 * quarantineMs);
            quarantinedUntilMs = nowMs + quarantineMs;
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
     * Checks whether the worker may run only one task at a time.
     *
     * @return true from the first quarantine until a run succeeds
     */
    public boolean onProbation() {
        return failedInRow.size() >= FAILED_JOBS_LIMIT;
    }

    /**
     * Returns the placement cost of the recent failures.
     *
     * @return 0 for a worker without failures since the last success
     */
    public double failurePenalty() {
        return failedInRow.size() * FAILURE_COST;
    }
}
