package org.cornelcove.policy.evict;

import org.cornelcove.model.id.AttemptId;

/**
 * A batch attempt on a loaded host.
 *
 * @param attempt the attempt
 * @param usedCpuMillicores its measured CPU use
 * @param usedMemoryBytes its measured memory use
 * @param declaredMemoryBytes the memory it was placed with
 * @param sinceCheckpointMs the time since its last checkpoint, or since its start if it has none
 * @param urgent whether its job is urgent
 * @param throttled whether it runs at a reduced rate now
 * @param disturbance the known relative increase of a service's run time on this host at this load, 0 if unknown
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
    /** Returns the CPU time that an eviction would lose, in millicore-milliseconds. */
    public double lostWork() {
        return (double) usedCpuMillicores * sinceCheckpointMs;
    }

    /** Checks whether it uses more memory than it was placed with. */
    public boolean exceedsMemory() {
        return usedMemoryBytes > declaredMemoryBytes;
    }
}
