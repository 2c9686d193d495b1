package org.cornelcove.model.command;

import org.cornelcove.model.request.RecordedAnswer;

/**
 * The request already ran; its recorded answer is replayed.
 *
 * @param answer the recorded answer
 */
public record ClaimReplayed(RecordedAnswer answer) implements Outcome {}
