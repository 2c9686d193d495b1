package org.cornelcove.policy.learn;

/**
 * The estimated run time of one kind of work.
 *
 * @param samples the number of runs that the estimate is based on; 0 if it is a declared run time
 * @param meanUs the mean in microseconds
 * @param p50Us the median in microseconds
 * @param p90Us the 90th percentile in microseconds
 * @param p99Us the 99th percentile in microseconds
 */
public record RunTimeEstimate(long samples, long meanUs, long p50Us, long p90Us, long p99Us) {
    /** Returns an estimate that consists of a declared run time only. */
    public static RunTimeEstimate declared(long runUs) {
        return new RunTimeEstimate(0, runUs, runUs, runUs, runUs);
    }
}
