package org.cornelcove.model.command;

import org.cornelcove.model.error.Failure;

/**
 * The command changed nothing.
 *
 * @param failure the reason and the remedy
 */
public record Refused(Failure failure) implements Outcome {}
