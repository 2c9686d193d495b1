package org.cornelcove.daemon.call;

import java.util.List;

import org.cornelcove.model.job.JobView;

/**
 * All jobs that are kept.
 *
 * @param jobs first submitted first
 */
public record JobList(List<JobView> jobs) {}
