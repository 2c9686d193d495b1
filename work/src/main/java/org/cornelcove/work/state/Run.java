package org.cornelcove.work.state;

/**
 * A run of a task that has not ended.
 *
 * @param runId the number of the run, increasing within the task
 * @param worker the id of the worker that runs it
 * @param workerStartMs the start time of that worker process, which tells restarts apart
 * @param startedMs when the start was committed, in Unix milliseconds by the leader's clock
 */
public record Run(int runId, String worker, long workerStartMs, long startedMs) {}
