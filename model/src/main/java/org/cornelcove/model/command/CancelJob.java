package org.cornelcove.model.command;

import org.cornelcove.model.id.JobId;

/**
 * Cancels a job. Idempotent; whichever of cancellation and completion is applied first wins.
 *
 * @param job the job
 */
public record CancelJob(JobId job) implements Command {}
