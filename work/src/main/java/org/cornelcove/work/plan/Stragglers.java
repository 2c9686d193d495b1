package org.cornelcove.work.plan;

import java.util.Arrays;

/**
 * Decides when a task that allows copies gets a second run: once it has run much longer than the median of its completed
 * siblings, or, while fewer than half of them are complete, than its declared time.
 *
 * <p>Load pattern: short urgent steps of a few tasks, of which one runs on a slow or stuck worker and delays the next
 * step. Copying every task from the start was rejected: it doubled the load at a peak.
 */
public final class Stragglers {
    /** Multiple of the median time of its siblings after which a task is copied. */
    private static final double SIBLING_FACTOR = 1.7;
    /** Multiple of its declared time after which a task is copied; declared times are often off by half. */
    private static final double DECLARED_FACTOR = 2.5;
    /** Time that a copy needs to start and its end to be reported. */
    private static final long COPY_OVERHEAD_MS = 150;

    private Stragglers() {}

    /**
     * Returns the run time after which a task gets a copy.
     *
     * @param declaredMs the time that the caller declared, 0 for none
     * @param doneMs the run times of the completed siblings
     * @param siblings the number of tasks of the step
     * @return milliseconds since its start, {@link Long#MAX_VALUE} if nothing is known of its time
     */
    public static long copyAfterMs(long declaredMs, long[] doneMs, int siblings) {
        if (doneMs.length > 0 && 2 * doneMs.length >= siblings) {
            long[] sorted = doneMs.clone();
            Arrays.sort(sorted);
            return COPY_OVERHEAD_MS + (long) (SIBLING_FACTOR * sorted[sorted.length / 2]);
        }
        return declaredMs == 0 ? Long.MAX_VALUE : COPY_OVERHEAD_MS + (long) (DECLARED_FACTOR * declaredMs);
    }
}
