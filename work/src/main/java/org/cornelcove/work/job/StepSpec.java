package org.cornelcove.work.job;

import java.util.List;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param count the number of tasks
 * @param cpuMillis the CPU that each task reserves, in thousandths of a core
 * @param memoryMb the memory that each task reserves, in megabytes
 * @param accelerators the number of accelerators that each task reserves
 * @param estimateMs the estimated duration of a task in milliseconds, 0 when unknown
 * @param after the earlier steps that this step depends on, counted from 0
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks can only run all at the same time
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel the label that a worker must have, empty for any
 * @param dataRack the rack that holds the input data, empty for none
 * @param maxPerWorker how many tasks of the step one worker may run, 0 for no limit
 * @param copies whether a task may have several concurrent runs
 * @param lasting whether the tasks run until the job is cancelled
 * @param image the image that the tasks run; tasks of the same image are assumed to behave alike
 * @param targetMs the tail latency objective of a lasting task in milliseconds, 0 for none
 * @param fill whether the tasks use only capacity that other tasks leave unused
 * @param maxUnavailable how many lasting tasks the scheduler itself may interrupt at the same time, 0 for no limit
 */
public record StepSpec(
        int count,
        int cpuMillis,
        int memoryMb,
        int accelerators,
        long estimateMs,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean copies,
        boolean lasting,
        String image,
        long targetMs,
        boolean fill,
        int maxUnavailable) {
    /** Upper bound of {@link #count}. */
    public static final int MAX_TASKS = 10_000;

    /** Upper bound of the tasks of all steps and occurrences of a job. */
    public static final int MAX_TASKS_PER_JOB = 100_000;
}
