package org.cornelcove.work.plan;

import java.util.HashSet;
import java.util.Set;

/**
 * Judges a worker by how the runs on it ended. Failures of several jobs in a row, without one that was done between,
 * speak against the worker and not against the jobs; it then gets nothing for a while, and after that one task as a
 * trial.
 *
 * <p>Load pattern: a tenth of the workers fails, or stalls, all that it starts while its health check is good. Counting
 * failures by the second lost: a job that can never be done fails as often and spoils sound workers.
 */
public final class WorkerHealth {
    /** Distinct jobs that failed in a row before a worker is set aside; one alone may be the job's own fault. */
    private static final int FAILED_JOBS_LIMIT = 2;
    /** The first time aside, about the shortest trouble seen. */
    private static final long FIRST_ASIDE_MS = 4000;
    /** The longest time aside. */
    private static final long MAX_ASIDE_MS = 15_000;
    /** How much one failure in a row weighs in a placement. */
    private static final double FAILURE_WEIGHT = 0.7;

    private final Set<String> failedInRow = new HashSet<>();
    private long asideUntilMs;
    private long asideMs;

    /** Takes note of a run that was done. */
    public void succeeded() {
        failedInRow.clear();
        asideUntilMs = 0;
        asideMs = 0;
    }

    /**
     * Takes note of a run that failed, stalled or was not taken.
     *
     * @param jobId the job
     * @param nowMs the time on a monotonic clock
     */
    public void failed(String jobId, long nowMs) {
        failedInRow.add(jobId);
        if (failedInRow.size() >= FAILED_JOBS_LIMIT && nowMs >= asideUntilMs) {
            asideMs = asideMs == 0 ? FIRST_ASIDE_MS : Math.min(MAX_ASIDE_MS, 2 * asideMs);
            asideUntilMs = nowMs + asideMs;
        }
    }

    /**
     * Tells whether the worker should get nothing now.
     *
     * @param nowMs the time on a monotonic clock
     * @return whether the worker should get nothing now
     */
    public boolean aside(long nowMs) {
        return nowMs < asideUntilMs;
    }

    /**
     * Tells whether the worker may get one task to try it.
     *
     * @return whether the worker may get one task to try it
     */
    public boolean onTrial() {
        return failedInRow.size() >= FAILED_JOBS_LIMIT;
    }

    /**
     * Returns how little it is trusted, 0 for a sound worker.
     *
     * @return how little it is trusted, 0 for a sound worker
     */
    public double suspicion() {
        return failedInRow.size() * FAILURE_WEIGHT;
    }
}
