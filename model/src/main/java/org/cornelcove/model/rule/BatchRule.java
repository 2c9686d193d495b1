package org.cornelcove.model.rule;

/**
 * How batch work shares hosts with services.
 *
 * @param serviceReservePercent the share of each host's processor that batch work leaves free
 * @param evictionsPerMinute the most evictions a minute over the cluster
 * @param maxAttempts a job that failed this often on distinct hosts gets its final answer
 * @param quarantinePercent the largest share of the workers in quarantine at once
 */
public record BatchRule(int serviceReservePercent, int evictionsPerMinute, int maxAttempts, int quarantinePercent) {
    /** The rule in force while the operator gave none. */
    public static final BatchRule DEFAULT = new BatchRule(10, 30, 4, 10);
}
