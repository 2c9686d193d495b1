package org.cornelcove.model.command;

/**
 * The command took effect, now or when it was first applied.
 *
 * @param version the log index at which it took effect; for a configuration its version
 */
public record Done(long version) implements Outcome {}
