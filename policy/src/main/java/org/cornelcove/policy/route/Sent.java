package org.cornelcove.policy.route;

/**
 * A send to a target that ended.
 *
 * @param outcome how
 * @param tookUs how long it took
 * @param expectedUs the median run time of its kind of work
 */
public record Sent(SendOutcome outcome, long tookUs, long expectedUs) {}
