package org.cornelcove.model.command;

/**
 * The request may or may not have run; it is never run again.
 *
 * @param index the log index at which the unknown outcome was recorded
 */
public record ClaimUnknown(long index) implements Outcome {}
