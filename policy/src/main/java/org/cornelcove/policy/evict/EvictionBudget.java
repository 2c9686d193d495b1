package org.cornelcove.policy.evict;

import org.cornelcove.policy.pace.TokenBucket;

/** The evictions that the cluster may still make, whatever the reason; a quarter of a minute's can be saved up. */
public final class EvictionBudget {
    private static final double SECONDS_A_MINUTE = 60;
    private static final double STORED_SHARE = 0.25;

    private final TokenBucket permits;

    private EvictionBudget(int perMinute) {
        double stored = Math.max(Math.min(1, perMinute), perMinute * STORED_SHARE);
        permits = TokenBucket.full(perMinute / SECONDS_A_MINUTE, stored);
    }

    /**
     * Returns a full budget.
     *
     * @param perMinute the most evictions a minute over the cluster, 0 for none at all
     * @return the budget
     */
    public static EvictionBudget of(int perMinute) {
        return new EvictionBudget(perMinute);
    }

    /**
     * Takes one eviction.
     *
     * @param nowMs the current instant
     * @return whether one was left
     */
    public boolean tryTake(long nowMs) {
        return permits.tryTake(0, nowMs);
    }
}
