package org.cornelcove.model.command;

import java.util.Optional;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;

/**
 * Ends an attempt, frees what it held, and finishes or requeues the job in one step.
 *
 * @param attempt the attempt
 * @param end how it ended
 * @param checkpoint where the job resumes from
 * @param detail why it failed, empty otherwise
 */
public record EndAttempt(AttemptId attempt, AttemptEnd end, Optional<String> checkpoint, String detail)
        implements Command {}
