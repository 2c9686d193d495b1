package org.cornelcove.work.job;

import java.util.List;

/**
 * One step of a job: a number of equal tasks.
 *
 * @param count how many tasks
 * @param cpuMillis what each task reserves, in thousandths of a core
 * @param memoryMb what each task reserves
 * @param accelerators what each task reserves
 * @param estimateMs a rough estimate of a task's duration, 0 when there is none
 * @param after the earlier steps that must be done first, counted from 0
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks work only together
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel the label that a worker must have, empty for any
 * @param dataRack the rack where the data lies, empty for none
 * @param maxPerWorker how many tasks of the step one worker may run, 0 for any number
 * @param copies whether a task may run more than once at a time
 * @param lasting whether the tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMs the bound on the tail of a lasting task's own response times, 0 for none
 * @param fill whether the tasks use only what others leave
 * @param maxUnavailable how many lasting tasks may be away at once by the system's own doing, 0 for no bound
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
        int maxUnavailable) {}
