package org.cornelcove.control.leader;

/** Bounds a rate: tokens come in steadily up to a burst, and each action takes one. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1_000;

    private double tokens;
    private long filledMs;

    private TokenBucket(double tokens, long filledMs) {
        this.tokens = tokens;
        this.filledMs = filledMs;
    }

    /** Returns a bucket with the given first tokens. */
    static TokenBucket of(double tokens, long nowMs) {
        return new TokenBucket(tokens, nowMs);
    }

    void fill(double perSecond, double burst, long nowMs) {
        double more = Math.max(0, nowMs - filledMs) * perSecond / MS_PER_SECOND;
        tokens = Math.min(burst, tokens + more);
        filledMs = nowMs;
    }

    boolean take() {
        return take(1);
    }

    boolean take(int count) {
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }
}
