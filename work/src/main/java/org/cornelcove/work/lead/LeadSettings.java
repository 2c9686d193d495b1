package org.cornelcove.work.lead;

/**
 * The time limits of a leader.
 *
 * @param leaseMs the length of a worker's lease
 * @param maxLeaseMs the longest lease that a worker accepts; it shortens a longer one
 * @param stopTimeoutMs how long a worker may take to stop a run
 * @param forgetMs how long an ended job is kept
 */
public record LeadSettings(long leaseMs, long maxLeaseMs, long stopTimeoutMs, long forgetMs) {}
