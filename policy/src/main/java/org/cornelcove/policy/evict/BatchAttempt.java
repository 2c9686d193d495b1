package org.cornelcove.policy.evict;

import org.cornelcove.model.id.AttemptId;

/**
 * One batch attempt on a loaded host.
 *
 * @param attempt the attempt
 * @param usedCpuMillicores its measured use
 * @param usedMemoryBytes its measured use
 * @param declaredMemoryBytes what it was placed with
 * @param sinceCheckpointMs how long ago its last checkpoint was taken, or its start
 * @param urgent whether its job is urgent
 * @param throttled whether it runs at a reduced rate now
 * @param disturbance the share that it is known to add to the run time of a service beside it at this load, 0 for unknown
 */
public record BatchAttempt(
        AttemptId attempt,
        long usedCpuMillicores,
        long usedMemoryBytes,
        long declaredMemoryBytes,
        long sinceCheckpointMs,
        boolean urgent,
        boolean throttled,
        double disturbance) {
    /** Returns the processor time that would have to be spent again. */
    public double lostWork() {
        return (double) usedCpuMillicores * sinceCheckpointMs;
    }

    /** Tells whether it uses more memory than it was placed with. */
    public boolean exceedsMemory() {
        return usedMemoryBytes > declaredMemoryBytes;
    }
}
