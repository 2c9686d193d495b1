package org.cornelcove.policy.admission;

import java.util.SplittableRandom;

/**
 * Spreads the retries of refused callers over time.
 *
 * <p>Each refusal is assigned the next retry time in a schedule whose rate the service can handle in addition to new
 * arrivals, so a burst of refusals of any size becomes a steady flow of retries. The same delay for all callers was
 * rejected: callers refused together would return together. A random delay from a fixed range was rejected: the range is
 * too narrow for a large burst and too wide for a small one.
 *
 * <p>Delays are limited to {@code MAX_DELAY_MS}. A delay beyond the limit is replaced by a random one from the whole
 * range, so that no peak builds up at the limit. Not thread-safe.
 */
public final class ReturnSpread {
    /** The maximum retry delay. */
    public static final long MAX_DELAY_MS = 60_000;

    private static final long MIN_DELAY_MS = 1000;

    private final SplittableRandom random;
    private double nextReturnMs;

    private ReturnSpread(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Returns an empty schedule.
     *
     * @param seed seed of the random delays
     * @return the schedule
     */
    public static ReturnSpread seeded(long seed) {
        return new ReturnSpread(seed);
    }

    /**
     * Assigns the next retry time.
     *
     * @param nowMs the current instant
     * @param notBeforeMs the minimum useful delay in ms
     * @param returnsPerSecond the rate of retries
     * @return the retry delay in ms, at most {@link #MAX_DELAY_MS}
     */
    public long nextDelayMs(long nowMs, long notBeforeMs, double returnsPerSecond) {
        long earliestMs = nowMs + Math.max(MIN_DELAY_MS, Math.min(notBeforeMs, MAX_DELAY_MS));
        nextReturnMs = Math.max(nextReturnMs, earliestMs);
        double delayMs = nextReturnMs - nowMs;
        if (delayMs >= MAX_DELAY_MS) {
            return random.nextLong(MIN_DELAY_MS, MAX_DELAY_MS + 1);
        }
        nextReturnMs += 1000 / Math.max(1, returnsPerSecond);
        return (long) delayMs;
    }
}
