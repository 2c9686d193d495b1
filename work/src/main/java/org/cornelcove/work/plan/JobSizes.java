package org.cornelcove.work.plan;

import java.util.Arrays;

/**
 * Ranks the jobs of one queue by their work: the largest tenth, the fifth below it, and the rest. Ranks are relative to the
 * most recent jobs, so that each queue is measured against itself.
 *
 * <p>Load pattern: wide and narrow jobs of one queue in the same peak, in which the narrow ones find room first. A total
 * over the queue hides that its wide jobs are not served.
 */
public final class JobSizes {
    /** The part of a queue that a job belongs to by its work. */
    public enum Rank {
        /** The largest tenth. */
        LARGEST,
        /** The fifth below the largest tenth. */
        LARGE,
        /** The remaining seven tenths. */
        OTHER
    }

    private static final int RECENT_JOBS = 256;
    private static final double LARGEST_FROM = 0.9;
    private static final double LARGE_FROM = 0.7;

    private final long[] recent = new long[RECENT_JOBS];
    private int observed;

    /**
     * Records the work of an accepted job.
     *
     * @param work the work, in a unit that is the same for all jobs
     */
    public void observe(long work) {
        recent[observed++ % RECENT_JOBS] = work;
    }

    /**
     * Ranks a job among the recorded ones.
     *
     * @param work its work
     * @return its rank, {@link Rank#OTHER} if fewer than ten jobs were recorded
     */
    public Rank rank(long work) {
        int known = Math.min(observed, RECENT_JOBS);
        long smaller = Arrays.stream(recent, 0, known).filter(w -> w < work).count();
        if (smaller < LARGE_FROM * known || known * (1 - LARGEST_FROM) < 1) {
            return Rank.OTHER;
        }
        return smaller < LARGEST_FROM * known ? Rank.LARGE : Rank.LARGEST;
    }
}
