package org.cornelcove.policy.queue;

/**
 * A request that asks to be queued.
 *
 * @param <T> what the caller attaches to it
 * @param tenant the tenant
 * @param kind the kind of work, the key under which its run time is learned
 * @param deadlineUs the instant by which it must be answered
 * @param declaredRunUs the run time its sender expects; a hint until enough was learned
 * @param payload handed back as it is
 */
public record Arrival<T>(String tenant, String kind, long deadlineUs, long declaredRunUs, T payload) {}
