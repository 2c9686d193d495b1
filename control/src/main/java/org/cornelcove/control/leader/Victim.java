package org.cornelcove.control.leader;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.JobSpec;

/**
 * A batch attempt that could be evicted.
 *
 * @param attempt the attempt
 * @param spec its job
 * @param unsavedMs the time since its last checkpoint or its start
 */
public record Victim(AttemptId attempt, JobSpec spec, long unsavedMs) {
    /** Returns the processor time that a stop without a new checkpoint would lose. */
    public double lostWork() {
        return (double) unsavedMs * spec.resources().cpuMillicores();
    }
}
