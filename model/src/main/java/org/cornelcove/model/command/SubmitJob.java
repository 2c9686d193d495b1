package org.cornelcove.model.command;

import org.cornelcove.model.job.JobSpec;

/**
 * Submits a job; resubmitting the same specification returns the first outcome.
 *
 * @param spec the job
 */
public record SubmitJob(JobSpec spec) implements Command {}
