package org.cornelcove.model.command;

/**
 * Deletes the claims that were decided at or before a log index.
 *
 * @param decidedUpToIndex the index
 */
public record ExpireClaims(long decidedUpToIndex) implements Command {}
