package org.cornelcove.policy.evict;

import java.util.List;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * A measurement of a host's load.
 *
 * @param host the host
 * @param capacity the host's total resources
 * @param services the resources that its services used
 * @param measuredAtMs the time of the measurement, in ms
 * @param batch the batch attempts that run on the host
 */
public record HostLoad(
        HostId host, Resources capacity, Resources services, long measuredAtMs, List<BatchAttempt> batch) {
    /**
     * Returns the share of the CPU used by services and batch work together; 0 if the services use none, because batch
     * work alone delays no service.
     */
    public double pressure() {
        if (services.cpuMillicores() == 0) {
            return 0;
        }
        long batchMillicores =
                batch.stream().mapToLong(BatchAttempt::usedCpuMillicores).sum();
        return (double) (services.cpuMillicores() + batchMillicores) / Math.max(1, capacity.cpuMillicores());
    }

    /**
     * Checks whether the services' memory use leaves less than the declared memory of the batch attempts, so that the
     * services exceed their own declared memory.
     */
    public boolean isShortOfPlacedMemory() {
        long declaredBytes =
                batch.stream().mapToLong(BatchAttempt::declaredMemoryBytes).sum();
        return services.memoryBytes() + declaredBytes > capacity.memoryBytes();
    }

    /** Returns the share of the memory used by services and batch work together. */
    public double memoryPressure() {
        long batchBytes =
                batch.stream().mapToLong(BatchAttempt::usedMemoryBytes).sum();
        return (double) (services.memoryBytes() + batchBytes) / Math.max(1, capacity.memoryBytes());
    }
}
