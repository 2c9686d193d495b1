package org.cornelcove.model.command;

import java.util.Optional;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;

/**
 * Ends an attempt, releases its resources, and finishes or requeues the job, atomically.
 *
 * @param attempt the attempt
 * @param end how it ended
 * @param checkpoint the checkpoint from which the job resumes, empty for its start
 * @param detail why it failed, empty otherwise
 */
public record EndAttempt(AttemptId attempt, AttemptEnd end, Optional<String> checkpoint, String detail)
        implements Command {}
