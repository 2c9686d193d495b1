package org.cornelcove.policy.evict;

import java.util.List;

import org.cornelcove.model.id.HostId;

/**
 * What was measured on a host.
 *
 * @param host the host
 * @param capacityMillicores its processors
 * @param serviceMillicores what its services used
 * @param measuredAtMs when it was measured
 * @param batch the batch attempts that run there
 */
public record HostLoad(
        HostId host, long capacityMillicores, long serviceMillicores, long measuredAtMs, List<BatchAttempt> batch) {
    /** Returns the used share of the processors, services and batch work together. */
    public double pressure() {
        long batchMillicores =
                batch.stream().mapToLong(BatchAttempt::usedCpuMillicores).sum();
        return (double) (serviceMillicores + batchMillicores) / Math.max(1, capacityMillicores);
    }
}
