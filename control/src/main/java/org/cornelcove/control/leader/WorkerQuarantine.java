package org.cornelcove.control.leader;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;

/** Decides which workers get no new work because of their failures. */
public interface WorkerQuarantine {
    /** Quarantines nobody. */
    WorkerQuarantine NONE = new WorkerQuarantine() {
        @Override
        public boolean isQuarantined(HostId host, long nowMs) {
            return false;
        }

        @Override
        public void ended(HostId host, JobSpec spec, AttemptEnd end, long nowMs) {
            // Nothing is learned.
        }
    };

    /**
     * Tells whether the worker gets no new work.
     *
     * @param host the worker
     * @param nowMs the time on the monotonic clock
     * @return whether it is quarantined
     */
    boolean isQuarantined(HostId host, long nowMs);

    /**
     * Learns how an attempt ended. Called under the leader's lock, once for each end that was recorded.
     *
     * @param host where it ran
     * @param spec the job
     * @param end how it ended
     * @param nowMs the time on the monotonic clock
     */
    void ended(HostId host, JobSpec spec, AttemptEnd end, long nowMs);
}
