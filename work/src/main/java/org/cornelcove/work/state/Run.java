package org.cornelcove.work.state;

/**
 * A run of a task that has not ended.
 *
 * @param runId its number, rising within the task
 * @param worker the worker that was told to start it
 * @param born which life of that worker
 * @param startedMs when it was committed, Unix time of the leader
 */
public record Run(int runId, String worker, long born, long startedMs) {}
