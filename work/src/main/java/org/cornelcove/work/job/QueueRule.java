package org.cornelcove.work.job;

/**
 * The rule of one queue.
 *
 * @param name the name of the queue
 * @param host the host name that its callers use
 * @param pathPrefix the path prefix that its callers use
 * @param pool the pool whose workers run its tasks
 * @param priority 0 is the highest
 * @param attempts the number of failures of one task that fails its job
 * @param stretch the factor on the longest dependency chain of a job that gives its target latency
 * @param targetLatencyMs a constant added to that target latency, in milliseconds
 */
public record QueueRule(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int attempts,
        double stretch,
        long targetLatencyMs) {
    /**
     * Returns the time within which a job of the queue has to be complete.
     *
     * @param job the job
     * @return milliseconds from its acceptance, or from the due time of an occurrence
     */
    public long objectiveMs(JobSpec job) {
        return (long) (stretch * job.chainMs(0)) + targetLatencyMs;
    }
}
