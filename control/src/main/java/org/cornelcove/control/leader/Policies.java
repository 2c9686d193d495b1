package org.cornelcove.control.leader;

/**
 * The decisions that the leader leaves to others.
 *
 * @param placement chooses hosts
 * @param eviction chooses what gives way
 * @param throttle decides where batch work runs at a reduced rate
 * @param quarantine chooses workers that get nothing new
 */
public record Policies(
        PlacementPolicy placement, EvictionPolicy eviction, ThrottlePolicy throttle, WorkerQuarantine quarantine) {
    /**
     * Returns the standard ones, with nothing learned yet; each leader's part needs its own.
     *
     * @return the policies
     */
    public static Policies standard() {
        return new Policies(
                BestFit.INSTANCE, LeastLostWork.INSTANCE, UsageThrottle.INSTANCE, HealthQuarantine.create());
    }
}
