package org.cornelcove.work.job;

/**
 * When the steps of a job run again and again.
 *
 * @param firstAtMs when the first occurrence is due, Unix time
 * @param intervalMs the time from one occurrence to the next
 * @param repeatCount how many occurrences, 0 for a job that runs once and at once
 */
public record Schedule(long firstAtMs, long intervalMs, int repeatCount) {
    /** Runs once, at once. */
    public static final Schedule ONCE = new Schedule(0, 0, 0);

    /**
     * Returns how many occurrences there are, at least 1.
     *
     * @return how many occurrences there are, at least 1
     */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /**
     * Returns when an occurrence is due, Unix time; 0 for a job without times.
     *
     * @param occurrence the occurrence
     * @return when an occurrence is due, Unix time; 0 for a job without times
     */
    public long dueMs(int occurrence) {
        return repeatCount == 0 ? 0 : firstAtMs + occurrence * intervalMs;
    }
}
