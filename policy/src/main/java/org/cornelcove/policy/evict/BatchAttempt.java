package org.cornelcove.policy.evict;

import org.cornelcove.model.id.AttemptId;

/**
 * One batch attempt on a loaded host.
 *
 * @param attempt the attempt
 * @param usedCpuMillicores its measured use
 * @param sinceCheckpointMs how long ago its last checkpoint was taken, or its start
 * @param urgent whether its job is urgent
 * @param throttled whether it runs at a reduced rate now
 */
public record BatchAttempt(
        AttemptId attempt, long usedCpuMillicores, long sinceCheckpointMs, boolean urgent, boolean throttled) {
    /** Returns the processor time that would have to be spent again. */
    public double lostWork() {
        return (double) usedCpuMillicores * sinceCheckpointMs;
    }
}
