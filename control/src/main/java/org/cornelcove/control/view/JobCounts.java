package org.cornelcove.control.view;

/**
 * How many jobs are kept in each state.
 *
 * @param pending waiting
 * @param placed with an attempt
 * @param finished finished
 * @param failed given up
 * @param cancelled cancelled
 */
public record JobCounts(long pending, long placed, long finished, long failed, long cancelled) {}
