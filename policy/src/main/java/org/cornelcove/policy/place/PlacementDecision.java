package org.cornelcove.policy.place;

import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobSpec;

/** What is to be done with a waiting job. */
public sealed interface PlacementDecision {
    /**
     * Returns the job.
     *
     * @return the job
     */
    JobSpec job();

    /**
     * Start its next attempt.
     *
     * @param job the job
     * @param host where
     */
    record Start(JobSpec job, HostId host) implements PlacementDecision {}

    /**
     * Give it its final answer: it can never run.
     *
     * @param job the job
     * @param reason why
     */
    record GiveUp(JobSpec job, Failure reason) implements PlacementDecision {}
}
