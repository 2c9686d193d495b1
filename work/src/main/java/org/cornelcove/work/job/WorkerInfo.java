package org.cornelcove.work.job;

import java.util.List;
import java.util.OptionalLong;

/**
 * A heartbeat of a worker.
 *
 * @param id the id of the worker, which stays the same when its process restarts
 * @param processStartMs the start time of the worker process in Unix milliseconds, which tells restarts apart
 * @param address where the worker accepts calls, {@code ip:port}
 * @param zone its availability zone
 * @param pool the pool of the worker
 * @param draining whether the worker is about to shut down
 * @param remainingMs the shortest time until it shuts down in milliseconds, empty when unknown
 * @param warmUpMs how long the worker is slow after its start, in milliseconds
 * @param cpuMillis its total CPU, in thousandths of a core
 * @param memoryMb its total memory, in megabytes
 * @param accelerators its number of accelerators
 * @param labels its kind and its rack
 * @param clockMs its monotonic clock in milliseconds, by which leases expire
 * @param sequence increases with each heartbeat of one worker process
 */
public record WorkerInfo(
        String id,
        long processStartMs,
        String address,
        String zone,
        String pool,
        boolean draining,
        OptionalLong remainingMs,
        long warmUpMs,
        int cpuMillis,
        int memoryMb,
        int accelerators,
        List<String> labels,
        long clockMs,
        long sequence) {
    /**
     * Returns what is known of a later incarnation of the worker before its first heartbeat.
     *
     * @param newProcessStartMs the start time of its process, in Unix milliseconds
     * @return its state; each heartbeat has a higher sequence
     */
    public WorkerInfo restartedAt(long newProcessStartMs) {
        return new WorkerInfo(
                id,
                newProcessStartMs,
                address,
                zone,
                pool,
                false,
                OptionalLong.empty(),
                warmUpMs,
                cpuMillis,
                memoryMb,
                accelerators,
                labels,
                0,
                -1);
    }

    /**
     * Returns the rack, which is the last label.
     *
     * @return the rack, empty without labels
     */
    public String rack() {
        return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
    }
}
