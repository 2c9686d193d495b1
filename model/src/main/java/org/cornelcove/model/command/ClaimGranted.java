package org.cornelcove.model.command;

/**
 * The key is claimed for the requesting entry: only it may dispatch the request, once.
 *
 * @param index the log index of the claim
 */
public record ClaimGranted(long index) implements Outcome {}
