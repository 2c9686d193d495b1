package org.cornelcove.model.command;

import org.cornelcove.model.id.JobId;

/**
 * Cancels a job; idempotent, and decided once against its completion.
 *
 * @param job the job
 */
public record CancelJob(JobId job) implements Command {}
