package org.cornelcove.daemon.call;

import java.util.Optional;

import org.cornelcove.model.job.JobView;

/**
 * A job, where there is one.
 *
 * @param job the job, empty for an unknown one
 */
public record JobAnswer(Optional<JobView> job) {}
