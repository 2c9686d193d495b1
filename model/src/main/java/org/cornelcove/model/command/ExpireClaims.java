package org.cornelcove.model.command;

/**
 * Forgets claims that were decided at or before a log index.
 *
 * @param decidedUpToIndex the index
 */
public record ExpireClaims(long decidedUpToIndex) implements Command {}
