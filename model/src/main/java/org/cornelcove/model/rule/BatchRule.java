package org.cornelcove.model.rule;

/**
 * How batch work shares hosts with services.
 *
 * @param serviceReservePercent the share of each host's processor that batch work leaves free
 * @param evictionsPerMinute the most evictions per minute in the whole cluster
 * @param maxAttempts a job that failed on this many distinct hosts fails for good
 * @param quarantinePercent the largest share of the workers in quarantine at once
 */
public record BatchRule(int serviceReservePercent, int evictionsPerMinute, int maxAttempts, int quarantinePercent) {
    /** The rule that applies when the operator defines none. */
    public static final BatchRule DEFAULT = new BatchRule(10, 30, 4, 10);
}
