package org.cornelcove.policy.evict;

import org.cornelcove.policy.pace.TokenBucket;

/** The evictions that the cluster may still make, whatever the reason; a quarter of a minute's can be saved up. */
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
     * @param perMinute the most evictions a minute over the cluster, 0 for none at all
     * @return the budget
     */
    public static EvictionBudget of(int perMinute) {
        return new EvictionBudget(perMinute);
    }

    /**
     * Returns the budget of a new leader: one eviction, and what comes in from now on. A full one would let each change of
     * leader evict a quarter of a minute's again.
     *
     * @param perMinute the most evictions a minute over the cluster, 0 for none at all
     * @param nowMs the current instant
     * @return the budget
     */
    public static EvictionBudget ofNewLeader(int perMinute, long nowMs) {
        EvictionBudget budget = new EvictionBudget(perMinute);
        budget.permits.discardAbove(Math.min(1, perMinute), nowMs);
        return budget;
    }

    /**
     * Changes the bound, for a new configuration.
     *
     * @param perMinute the most evictions a minute over the cluster, 0 for none at all
     * @param nowMs the current instant
     */
    public void setPerMinute(int perMinute, long nowMs) {
        permits.setRate(perMinute / SECONDS_A_MINUTE, nowMs);
        permits.setMaxStored(mostStored(perMinute));
    }

    /**
     * Tells whether an eviction is left.
     *
     * @param nowMs the current instant
     * @return whether one is
     */
    public boolean hasOne(long nowMs) {
        return permits.hasOne(nowMs);
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
