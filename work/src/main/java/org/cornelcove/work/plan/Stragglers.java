package org.cornelcove.work.plan;

import java.util.Arrays;

/**
 * When a task that may run in copies gets a second one: once it has run much longer than the median of its siblings that
 * are done, or, while fewer than half of them are, than its declared time.
 *
 * <p>Load pattern: short urgent steps of a few tasks, of which one stands on a slow or stuck worker and holds up the next
 * step. Copying every task from the start lost: it doubled the load at a crest.
 */
public final class Stragglers {
    /** How many times the median of its siblings a task may take. */
    private static final double SIBLING_FACTOR = 1.7;
    /** How many times its declared time a task may take; declared times are often off by half. */
    private static final double DECLARED_FACTOR = 2.5;
    /** A copy needs this long to start and to be noticed. */
    private static final long LEAST_MS = 150;

    private Stragglers() {}

    /**
     * Tells after which time a task gets a copy.
     *
     * @param declaredMs what the caller declared, 0 for nothing
     * @param doneMs how long the siblings took that are done
     * @param siblings how many tasks the step has
     * @return the time since its start
     */
    public static long copyAfterMs(long declaredMs, long[] doneMs, int siblings) {
        if (doneMs.length > 0 && 2 * doneMs.length >= siblings) {
            long[] sorted = doneMs.clone();
            Arrays.sort(sorted);
            return LEAST_MS + (long) (SIBLING_FACTOR * sorted[sorted.length / 2]);
        }
        return declaredMs == 0 ? Long.MAX_VALUE : LEAST_MS + (long) (DECLARED_FACTOR * declaredMs);
    }
}
