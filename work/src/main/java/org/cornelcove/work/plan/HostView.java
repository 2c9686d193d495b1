package org.cornelcove.work.plan;

/**
 * What a placement looks at on one worker.
 *
 * @param cpuFreeMillis room that is not reserved
 * @param memoryFreeMb room that is not reserved
 * @param acceleratorsFree room that is not reserved
 * @param cpuMillis what it holds in all
 * @param matchesLabel whether it has the label that the step requires
 * @param inDataRack whether it stands where the step's data lies, true when the step names no rack
 * @param inStepRack whether it stands where other tasks of a step for one rack run, true when that doesn't matter
 * @param runsOfStep how many tasks of the same step it runs
 * @param serving how many lasting tasks with a target it runs
 * @param strangeness how differently fill work bears on the step's image and on those, 0 for alike and 1 for unlike
 * @param openness which share of the known images of fill work could run beside those
 * @param fillCpuMillis what its fill tasks use at full speed
 * @param servingCpuMillis what its lasting tasks reserve
 * @param disturbance how far a fill task of this step would take a lasting task there to its target; over 1, too far
 * @param failedTask whether the same task has failed there
 * @param suspicion 0 for a sound worker; higher the more it has failed of late
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
        double strangeness,
        double openness,
        int fillCpuMillis,
        int servingCpuMillis,
        double disturbance,
        boolean failedTask,
        double suspicion) {}
