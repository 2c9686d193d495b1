package org.cornelcove.work.job;

import java.util.List;
import java.util.OptionalLong;

/**
 * What a worker says of itself in a heartbeat.
 *
 * @param id its id, which may come back with another life
 * @param bornMs which life: the Unix time of its start
 * @param address where it takes calls, {@code ip:port}
 * @param zone its availability zone
 * @param pool the pool that it belongs to
 * @param draining whether it is about to leave
 * @param remainingMs the shortest time until it leaves, where it tells
 * @param coldMs how long it stays slow after its start
 * @param cpuMillis what it holds, in thousandths of a core
 * @param memoryMb what it holds
 * @param accelerators what it holds
 * @param labels its kind and its rack
 * @param clockMs its own steady clock, on which leases are counted
 * @param sequence rises with each heartbeat of one life
 */
public record WorkerInfo(
        String id,
        long bornMs,
        String address,
        String zone,
        String pool,
        boolean draining,
        OptionalLong remainingMs,
        long coldMs,
        int cpuMillis,
        int memoryMb,
        int accelerators,
        List<String> labels,
        long clockMs,
        long sequence) {
    /**
     * Returns the rack, which is the last label; empty without labels.
     *
     * @return the rack, which is the last label; empty without labels
     */
    public String rack() {
        return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
    }
}
