package org.cornelcove.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Adds jitter to Retry-After, so that callers refused at the same time do not retry at the same time. */
final class RetryAfter {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final int MIN_JITTER_RANGE_S = 3;
    private static final long MAX_S = 30;

    private final AtomicLong state;

    RetryAfter(long seed) {
        state = new AtomicLong(seed);
    }

    /** Returns the Retry-After in seconds: the expected wait, at most 30 s, plus a random jitter. */
    int seconds(long waitMs) {
        long base = Math.min(MAX_S, Math.max(1, (waitMs + 999) / 1_000));
        return (int) (base + nextInt((int) (MIN_JITTER_RANGE_S + base)));
    }

    /** Returns a pseudo-random number from 0, inclusive, to the bound, exclusive. */
    int nextInt(int bound) {
        long z = state.addAndGet(GOLDEN_GAMMA);
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return (int) Math.floorMod(z ^ (z >>> 31), (long) bound);
    }
}
