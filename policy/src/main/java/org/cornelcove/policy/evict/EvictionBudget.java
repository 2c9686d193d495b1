package org.cornelcove.policy.evict;

import org.cornelcove.policy.pace.TokenBucket;

/** Rate limit for all evictions in the cluster; up to a quarter of a minute's evictions can accumulate. */
public final class EvictionBudget {
    private static final double SECONDS_A_MINUTE = 60;
    private static final double STORED_SHARE = 0.25;

    private final TokenBucket permits;

    private EvictionBudget(int perMinute) {
        permits = TokenBucket.full(perMinute / SECONDS_A_MINUTE, mostStored(perMinute));
    }

    private static double mostStored(int perMinute) {
        return Math.max(Math.min(1, perMinute), perMinute * STORED_SHARE);
    }

    /**
     * Returns a full budget.
     *
     * @param perMinute the maximum number of evictions per minute in the cluster, 0 for none
     * @return the budget
     */
    public static EvictionBudget of(int perMinute) {
        return new EvictionBudget(perMinute);
    }

    /**
     * Returns the budget of a new leader, which starts with one eviction. With a full budget, each change of leader would
     * permit another burst of evictions.
     *
     * @param perMinute the maximum number of evictions per minute in the cluster, 0 for none
     * @param nowMs the current instant
     * @return the budget
     */
    public static EvictionBudget ofNewLeader(int perMinute, long nowMs) {
        EvictionBudget budget = new EvictionBudget(perMinute);
        budget.permits.discardAbove(Math.min(1, perMinute), nowMs);
        return budget;
    }

    /**
     * Changes the limit for a new configuration.
     *
     * @param perMinute the maximum number of evictions per minute in the cluster, 0 for none
     * @param nowMs the current instant
     */
    public void setPerMinute(int perMinute, long nowMs) {
        permits.setRate(perMinute / SECONDS_A_MINUTE, nowMs);
        permits.setMaxStored(mostStored(perMinute));
    }

    /**
     * Checks whether an eviction is available.
     *
     * @param nowMs the current instant
     * @return true if at least one is
     */
    public boolean hasOne(long nowMs) {
        return permits.hasOne(nowMs);
    }

    /**
     * Takes one eviction.
     *
     * @param nowMs the current instant
     * @return true if one was available
     */
    public boolean tryTake(long nowMs) {
        return permits.tryTake(0, nowMs);
    }
}
