package org.cornelcove.policy.route;

/**
 * The result of a send to a target.
 *
 * @param outcome the outcome
 * @param tookUs the duration in microseconds
 * @param expectedUs the median run time of its kind of work in microseconds
 */
public record SendResult(SendOutcome outcome, long tookUs, long expectedUs) {}
