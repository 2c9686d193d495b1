package org.cornelcove.work.job;

/**
 * The schedule of a recurring job.
 *
 * @param firstAtMs when the first occurrence is due, in Unix milliseconds
 * @param intervalMs the time from one occurrence to the next
 * @param repeatCount the number of occurrences, 0 for a job that runs once, immediately
 */
public record Schedule(long firstAtMs, long intervalMs, int repeatCount) {
    /** Runs once, immediately. */
    public static final Schedule ONCE = new Schedule(0, 0, 0);

    /**
     * Returns the number of occurrences.
     *
     * @return the number, at least 1
     */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence the occurrence, counted from 0
     * @return Unix time in milliseconds, 0 for a job that does not recur, {@link Long#MAX_VALUE} for a time beyond it
     */
    public long dueMs(int occurrence) {
        if (repeatCount == 0) {
            return 0;
        }
        long roomMs = Long.MAX_VALUE - Math.max(0, firstAtMs);
        boolean beyond = intervalMs > 0 && occurrence > roomMs / intervalMs;
        return beyond ? Long.MAX_VALUE : firstAtMs + occurrence * intervalMs;
    }
}
