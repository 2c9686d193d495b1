package org.cornelcove.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Spreads the return of refused callers, so that those turned away together don't come back together. */
final class RetryAfter {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final int SPREAD_S = 3;
    private static final long MAX_S = 30;

    private final AtomicLong state;

    RetryAfter(long seed) {
        state = new AtomicLong(seed);
    }

    /** Returns the seconds to wait: at least the expected wait, plus a share of the spread. */
    int seconds(long waitMs) {
        long base = Math.min(MAX_S, Math.max(1, (waitMs + 999) / 1_000));
        return (int) (base + below((int) (SPREAD_S + base)));
    }

    /** Returns a number from 0 up to but without the bound. */
    int below(int bound) {
        long z = state.addAndGet(GOLDEN_GAMMA);
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return (int) Math.floorMod(z ^ (z >>> 31), (long) bound);
    }
}
