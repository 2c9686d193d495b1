package org.cornelcove.model.command;

import org.cornelcove.model.job.JobSpec;

/**
 * Submits a job; the same specification again gets the first outcome.
 *
 * @param spec the job
 */
public record SubmitJob(JobSpec spec) implements Command {}
