package org.cornelcove.work.plan;

/**
 * The state of one worker that a placement decision depends on.
 *
 * @param cpuFreeMillis processor that is not reserved, in thousandths of a core
 * @param memoryFreeMb memory that is not reserved
 * @param acceleratorsFree accelerators that are not reserved
 * @param cpuMillis its whole processor, in thousandths of a core
 * @param matchesLabel whether it has the label that the step requires
 * @param inDataRack whether it is in the rack of the step's data, true if the step names no rack
 * @param inStepRack whether it is in the rack in which other tasks of the step run, true if the step may use several
 * @param runsOfStep how many tasks of the same step it runs
 * @param serving how many lasting tasks with a target it runs
 * @param sensitivityDifference mean difference between the step's image and the images of those tasks in which fill work
 *     disturbs them, from 0 for the same fill work to 1
 * @param fillTolerance share of the known fill work, weighted by scarcity, that could run beside those tasks
 * @param fillCpuMillis processor that its fill tasks use at full speed
 * @param servingCpuMillis processor that its lasting tasks reserve
 * @param disturbance share of the distance to its target by which a fill task of this step would raise the tail latency
 *     of a lasting task; above 1 it would exceed the target
 * @param failedTask whether the same task has failed there
 * @param failurePenalty 0 for a healthy worker, rises with the number of jobs that failed on it in a row
 */
public record HostView(
        int cpuFreeMillis,
        int memoryFreeMb,
        int acceleratorsFree,
        int cpuMillis,
        boolean matchesLabel,
        boolean inDataRack,
        boolean inStepRack,
        int runsOfStep,
        int serving,
        double sensitivityDifference,
        double fillTolerance,
        int fillCpuMillis,
        int servingCpuMillis,
        double disturbance,
        boolean failedTask,
        double failurePenalty) {}
