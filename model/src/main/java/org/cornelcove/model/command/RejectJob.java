package org.cornelcove.model.command;

import org.cornelcove.model.id.JobId;

/**
 * Fails a job that can never run.
 *
 * @param job the job
 * @param reason why
 */
public record RejectJob(JobId job, String reason) implements Command {}
