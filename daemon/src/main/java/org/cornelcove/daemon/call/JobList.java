package org.cornelcove.daemon.call;

import java.util.List;

import org.cornelcove.model.job.JobView;

/**
 * All retained jobs.
 *
 * @param jobs the jobs in the order of their submission
 */
public record JobList(List<JobView> jobs) {}
