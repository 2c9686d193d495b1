package org.cornelcove.model.command;

import org.cornelcove.model.request.RecordedAnswer;

/**
 * The request ran before; here is its answer.
 *
 * @param answer the recorded answer
 */
public record ClaimReplayed(RecordedAnswer answer) implements Outcome {}
