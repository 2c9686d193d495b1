package org.cornelcove.model.command;

import org.cornelcove.model.id.JobId;

/**
 * Gives a job that can never run its final answer.
 *
 * @param job the job
 * @param reason why
 */
public record RejectJob(JobId job, String reason) implements Command {}
