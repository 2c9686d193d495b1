package org.cornelcove.model.command;

import org.cornelcove.model.id.AttemptId;

/**
 * Records an acknowledged checkpoint of a running attempt.
 *
 * @param attempt the attempt
 * @param checkpoint the checkpoint's name
 */
public record RecordCheckpoint(AttemptId attempt, String checkpoint) implements Command {}
