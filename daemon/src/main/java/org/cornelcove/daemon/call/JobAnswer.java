package org.cornelcove.daemon.call;

import java.util.Optional;

import org.cornelcove.model.job.JobView;

/**
 * The answer to a read of one job.
 *
 * @param job the job, empty if its id is unknown
 */
public record JobAnswer(Optional<JobView> job) {}
