package org.cornelcove.control.view;

/**
 * The number of jobs in each state, among those that are kept.
 *
 * @param pending jobs that wait for placement
 * @param placed jobs with a placed attempt
 * @param finished jobs that finished
 * @param failed jobs that failed for good
 * @param cancelled jobs that were cancelled
 */
public record JobCounts(long pending, long placed, long finished, long failed, long cancelled) {}
