package org.cornelcove.work.plan;

/**
 * How choosy fill work is about its worker, by how long it has waited.
 *
 * <p>Load pattern: one image of fill work disturbs most images of lasting tasks, so that the few workers on which it runs
 * freely have a queue of many seconds while others bear it at a part of its speed. Waiting for a free one without an end
 * lost: a third of such jobs never ended.
 */
public final class Patience {
    /** How long fill work waits for a worker on which it runs freely, below the platform's three seconds. */
    private static final long FREELY_MS = 1500;
    /** From then on, how much slower than freely it accepts to run, for each second that it waits. */
    private static final double SLOWER_PER_S = 0.5;
    /** Slower than at one part in so many of its speed it only takes memory. */
    private static final double SLOWEST = 3;

    private Patience() {}

    /**
     * Returns how far on the way to its target fill work may take a lasting task.
     *
     * @param busy whether most of the pool is reserved, so that the platform lets fill work wait
     * @param waitedMs how long it has waited
     * @return the limit for {@link Placement#choose}
     */
    public static double maxDisturbance(boolean busy, long waitedMs) {
        if (waitedMs < FREELY_MS) {
            return Placement.FREELY;
        }
        if (!busy) {
            return Placement.ANYWHERE;
        }
        // In steps, so that steps that waited about as long ask for the same.
        double seconds = Math.floor((waitedMs - FREELY_MS) / 1000.0);
        return Math.min(SLOWEST, Placement.FREELY + SLOWER_PER_S * seconds);
    }
}
