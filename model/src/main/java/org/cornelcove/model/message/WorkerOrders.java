package org.cornelcove.model.message;

import java.util.List;

/**
 * The leader's answer to a worker's heartbeat. The worker counts the lease from the instant at which it sent the
 * heartbeat and stops every attempt whose lease has expired.
 *
 * @param leaseMs how long the attempts with {@code RUN}, {@code THROTTLE} or {@code EVICT} may continue, in milliseconds
 * @param nextHeartbeatMs the time until the next heartbeat, in milliseconds
 * @param orders one for each attempt that the worker runs or has to start
 */
public record WorkerOrders(long leaseMs, long nextHeartbeatMs, List<AttemptOrder> orders) {}
