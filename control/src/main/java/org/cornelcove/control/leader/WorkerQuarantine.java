package org.cornelcove.control.leader;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;

/** Decides how many attempts a worker may run at once because of its failures. Called under the leader's lock. */
public interface WorkerQuarantine {
    /** The limit of a worker in good standing. */
    int UNLIMITED = Integer.MAX_VALUE;

    /** Quarantines nobody. */
    WorkerQuarantine NONE = new WorkerQuarantine() {
        @Override
        public int mostAttempts(HostId host, long nowMs) {
            return UNLIMITED;
        }

        @Override
        public void setMaxPercent(int percent) {
            // Nobody is quarantined, whatever the share.
        }

        @Override
        public void ended(HostId host, JobSpec spec, AttemptEnd end, long nowMs) {
            // Nothing is learned.
        }
    };

    /**
     * Tells how many attempts a worker may run at once.
     *
     * @param host the worker, which counts as part of the fleet from now on
     * @param nowMs the time on the monotonic clock
     * @return 0 in quarantine, a small number on probation, else {@link #UNLIMITED}
     */
    int mostAttempts(HostId host, long nowMs);

    /**
     * Takes in the rule in force.
     *
     * @param percent the largest share of the workers in quarantine at once
     */
    void setMaxPercent(int percent);

    /**
     * Learns how an attempt ended. Called once for each end that was recorded.
     *
     * @param host where it ran
     * @param spec the job
     * @param end how it ended
     * @param nowMs the time on the monotonic clock
     */
    void ended(HostId host, JobSpec spec, AttemptEnd end, long nowMs);
}
