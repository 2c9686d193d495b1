package org.cornelcove.work.job;

/**
 * One queue of the operator's rules.
 *
 * @param name its name
 * @param host the host name that its callers use
 * @param pathPrefix the path prefix that its callers use
 * @param pool the pool whose workers run its tasks
 * @param priority 0 comes first
 * @param attempts how often a task may fail before its job has failed
 * @param stretch how many times its longest chain of work a job may take
 * @param targetLatencyMs what is added to that
 */
public record QueueRule(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int attempts,
        double stretch,
        long targetLatencyMs) {}
