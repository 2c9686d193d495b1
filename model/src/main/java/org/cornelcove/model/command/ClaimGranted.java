package org.cornelcove.model.command;

/**
 * The key is claimed for the asking entry: it alone may dispatch the request, once.
 *
 * @param index the log index of the claim
 */
public record ClaimGranted(long index) implements Outcome {}
