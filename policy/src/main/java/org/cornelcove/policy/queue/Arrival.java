package org.cornelcove.policy.queue;

/**
 * A request offered to the queue.
 *
 * @param <T> type of the caller's payload
 * @param tenant the tenant that sent the request
 * @param kind the kind of work, the key under which its run time is learned
 * @param deadlineUs the time by which it must be answered, in microseconds on the clock of the queue's {@code nowUs} arguments
 * @param declaredRunUs the run time its sender expects; used until enough run times of its kind were recorded
 * @param payload returned unchanged with the queued request
 */
public record Arrival<T>(String tenant, String kind, long deadlineUs, long declaredRunUs, T payload) {}
