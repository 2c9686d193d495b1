package org.cornelcove.policy.admission;

import java.util.SplittableRandom;

/**
 * Chooses the instants at which refused callers are asked to come back.
 *
 * <p>Each refusal books the next free place in a line of returns that moves at the pace which the service can take on
 * top of fresh arrivals. A burst of refusals is so turned into a steady trickle, whatever its size. Equal answers to
 * all callers lost: those turned away together return together. Random answers out of a fixed range lost as well: the
 * range is too narrow for a large burst and too wide for a small one.
 *
 * <p>The line is bounded by {@code MAX_DELAY_MS}; bookings that would go beyond are drawn at random from the whole
 * range, so that the last second takes no peak. Not thread-safe.
 */
public final class ReturnSpread {
    /** The longest delay that a caller is asked for. */
    public static final long MAX_DELAY_MS = 60_000;

    private static final long MIN_DELAY_MS = 1000;

    private final SplittableRandom random;
    private double nextReturnMs;

    private ReturnSpread(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Returns an empty line of returns.
     *
     * @param seed of the random part
     * @return the line
     */
    public static ReturnSpread seeded(long seed) {
        return new ReturnSpread(seed);
    }

    /**
     * Books the next return.
     *
     * @param nowMs the current instant
     * @param notBeforeMs the earliest useful delay
     * @param returnsPerSecond the pace of returns
     * @return the delay to ask for
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
