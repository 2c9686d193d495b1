package org.cornelcove.policy.learn;

/**
 * How long work of one kind runs.
 *
 * @param samples the runs that the estimate rests on; 0 when it is taken from a declared size
 * @param meanUs the mean
 * @param p50Us the median
 * @param p90Us nine of ten runs end within this
 * @param p99Us ninety-nine of a hundred runs end within this
 */
public record RunTimeEstimate(long samples, long meanUs, long p50Us, long p90Us, long p99Us) {
    /** Returns an estimate that rests on a declared run time alone. */
    public static RunTimeEstimate declared(long runUs) {
        return new RunTimeEstimate(0, runUs, runUs, runUs, runUs);
    }
}
