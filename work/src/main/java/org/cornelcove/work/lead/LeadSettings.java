package org.cornelcove.work.lead;

/**
 * The bounds that a leader keeps.
 *
 * @param leaseMs how far ahead leases of workers are set
 * @param stopTimeoutMs how long a worker may take to stop a run
 * @param forgetMs how long an ended job is kept
 */
public record LeadSettings(long leaseMs, long stopTimeoutMs, long forgetMs) {}
