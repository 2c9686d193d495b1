package org.cornelcove.control.state;

/**
 * An accepted proposal, kept so that a resend gets the outcome of the first.
 *
 * @param changeNumber the number that the operator gave the change
 * @param digest the digest of the rules
 * @param version the configuration version that it created
 * @param maxDeadlineMs the longest deadline that its rules allow, 0 without services
 */
public record AcceptedChange(long changeNumber, String digest, long version, long maxDeadlineMs) {}
