package org.cornelcove.policy.place;

import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobSpec;

/** A decision on a waiting job. */
public sealed interface PlacementDecision {
    /**
     * Returns the job that the decision is about.
     *
     * @return the job's specification
     */
    JobSpec job();

    /**
     * Start the job's next attempt.
     *
     * @param job the job
     * @param host the host to start it on
     */
    record Start(JobSpec job, HostId host) implements PlacementDecision {}

    /**
     * Reject the job because it can never run.
     *
     * @param job the job
     * @param reason the failure reported for the job
     */
    record Reject(JobSpec job, Failure reason) implements PlacementDecision {}
}
