package org.cornelcove.policy.evict;

import java.util.List;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * What was measured on a host.
 *
 * @param host the host
 * @param capacity what it holds
 * @param services what its services used
 * @param measuredAtMs when it was measured
 * @param batch the batch attempts that run there
 */
public record HostLoad(
        HostId host, Resources capacity, Resources services, long measuredAtMs, List<BatchAttempt> batch) {
    /**
     * Returns the used share of the processors, services and batch work together; 0 where services use none, since batch
     * work alone keeps nobody waiting.
     */
    public double pressure() {
        if (services.cpuMillicores() == 0) {
            return 0;
        }
        long batchMillicores =
                batch.stream().mapToLong(BatchAttempt::usedCpuMillicores).sum();
        return (double) (services.cpuMillicores() + batchMillicores) / Math.max(1, capacity.cpuMillicores());
    }

    /** Tells whether services leave less memory than batch work was placed with, so that they took more than they declared. */
    public boolean isShortOfPlacedMemory() {
        long declaredBytes =
                batch.stream().mapToLong(BatchAttempt::declaredMemoryBytes).sum();
        return services.memoryBytes() + declaredBytes > capacity.memoryBytes();
    }

    /** Returns the used share of the memory, services and batch work together. */
    public double memoryPressure() {
        long batchBytes =
                batch.stream().mapToLong(BatchAttempt::usedMemoryBytes).sum();
        return (double) (services.memoryBytes() + batchBytes) / Math.max(1, capacity.memoryBytes());
    }
}
