package org.cornelcove.work.plan;

/**
 * Checks a lease at the moment of acting on it, also after the host was suspended. The monotonic clock, on which leases
 * end, does not count a suspension, so a lease that ended long ago still looks valid on it. The time of day counts it:
 * where it ran ahead of the monotonic clock, only a lease that was renewed since is valid. A step of the time of day has
 * the same effect until the next renewal, which does no harm.
 *
 * <p>Used by one thread.
 */
public final class LeaseCheck {
    /** Difference between the clocks that is no suspension: rounding and slewing between two checks. */
    private static final long MAX_DIFFERENCE_MS = 150;

    private long offsetMs;
    private boolean started;
    /** Longest remaining time of any lease, about its length. */
    private long longestMs;
    /** Leases that end before this were granted before the suspension. */
    private long validFromEndMs = Long.MIN_VALUE;

    /**
     * Checks the lease.
     *
     * @param endMs the end of the lease on the monotonic clock
     * @param nowMs the time on the monotonic clock
     * @param wallMs the Unix time
     * @return whether the lease is valid now
     */
    public boolean isValid(long endMs, long nowMs, long wallMs) {
        long offset = wallMs - nowMs;
        if (started && offset - offsetMs > MAX_DIFFERENCE_MS) {
            validFromEndMs = nowMs + longestMs;
        } else if (endMs >= validFromEndMs) {
            longestMs = Math.max(longestMs, endMs - nowMs);
        }
        started = true;
        offsetMs = offset;
        return nowMs < endMs && endMs >= validFromEndMs;
    }
}
