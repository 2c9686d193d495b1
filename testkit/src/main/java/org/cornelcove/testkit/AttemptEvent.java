package org.cornelcove.testkit;

/**
 * What a worker did with an attempt.
 *
 * @param host the worker
 * @param job the job
 * @param attempt the attempt's number
 * @param what {@code started}, {@code finished}, {@code failed}, {@code evicted} or {@code stopped}
 * @param checkpoint where it started from or stopped at, empty for none
 * @param atMs Unix milliseconds
 */
public record AttemptEvent(String host, String job, int attempt, String what, String checkpoint, long atMs) {}
