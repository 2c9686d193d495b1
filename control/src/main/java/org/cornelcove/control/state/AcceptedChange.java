package org.cornelcove.control.state;

/**
 * An accepted proposal, kept so that a resend gets the first outcome.
 *
 * @param changeNumber the operator's number
 * @param digest of the rules
 * @param version the version that it became
 * @param maxDeadlineMs the longest deadline that its rules allow
 */
public record AcceptedChange(long changeNumber, String digest, long version, long maxDeadlineMs) {}
