package org.cornelcove.model.message;

import java.util.List;

/**
 * The leader's answer to a worker's heartbeat. The worker counts the lease from the instant at which it sent the
 * heartbeat and stops every attempt whose lease is over.
 *
 * @param leaseMs how long the attempts with {@code RUN}, {@code THROTTLE} or {@code EVICT} may go on
 * @param nextHeartbeatMs when to send the next heartbeat
 * @param orders one for each attempt that the worker runs or has to start
 */
public record WorkerOrders(long leaseMs, long nextHeartbeatMs, List<AttemptOrder> orders) {}
