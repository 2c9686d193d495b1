package org.cornelcove.work.plan;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;

import org.cornelcove.work.job.StepSpec;

/**
 * Chooses the worker for a task: among those with room, the one with the lowest cost.
 *
 * <p>Load pattern: a site that runs lasting tasks on half of its capacity, and short urgent tasks and fill work at the
 * same time. Work is spread, so that every worker has room during a load peak. Lasting tasks with a target are grouped by
 * the fill work that they tolerate, so that every kind of fill work finds workers on which it disturbs no task; with an
 * even mix, each worker ran some task that some fill work disturbs. Fill work that disturbs few tasks avoids the workers
 * that tolerate all fill work. Tight packing was rejected: the failure of one worker ended several tasks of a job, and no
 * processor was left unused for fill work.
 */
public final class Placement {
    /** Cost of a rack without the data, in shares of a worker; remote data multiplies the run time. */
    private static final double REMOTE_RACK_COST = 4;
    /** Cost of fill work that raises the tail latency of a lasting task to its target. */
    private static final double DISTURBANCE_COST = 2;
    /** Upper bound of the disturbance in the cost; fill work with more would be paused anyway. */
    private static final double MAX_DISTURBANCE = 3;
    /** Cost of fill work that exceeds the processor likely to be unused, in shares of the worker. */
    private static final double CROWDED_COST = 4;
    /** Share of its reservation that a lasting task uses on average. */
    private static final double LASTING_USE_SHARE = 0.5;
    /** Cost of a worker whose lasting tasks tolerate other fill work than the new task does. */
    private static final double SENSITIVITY_DIFFERENCE_COST = 3;
    /** Cost, to a lasting task with a target, of a worker without such tasks: similar tasks are grouped first. */
    private static final double NEW_GROUP_COST = 1.5;
    /** Cost of another lasting task of the same step, since both would end with the worker. */
    private static final double LASTING_SIBLING_COST = 0.9;
    /** Cost, to fill work, of a worker whose lasting tasks tolerate all fill work. */
    private static final double FILL_TOLERANCE_COST = 1.5;
    /** Cost of a worker on which this task has failed. */
    private static final double FAILED_COST = 6;
    /** Cost of another task of the same step, so that the failure of one worker ends few of them. */
    private static final double SIBLING_COST = 0.05;

    private Placement() {}

    /**
     * Chooses a worker for a task.
     *
     * @param step the step
     * @param hosts the workers to choose from
     * @param canWait whether the task can wait for a worker on which it would make progress
     * @return the index of the best worker in the list, empty if the task fits on none now
     */
    public static OptionalInt choose(StepSpec step, List<HostView> hosts, boolean canWait) {
        int best = -1;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < hosts.size(); i++) {
            HostView host = hosts.get(i);
            if (!isEligible(step, host, canWait)) {
                continue;
            }
            double cost = cost(step, host);
            if (cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        return best < 0 ? OptionalInt.empty() : OptionalInt.of(best);
    }

    /**
     * Checks whether a task may start on a worker.
     *
     * @param step the step
     * @param host the worker
     * @param canWait whether the task can wait for a worker on which it would make progress
     * @return false if the task does not fit, or is better kept in the queue
     */
    public static boolean isEligible(StepSpec step, HostView host, boolean canWait) {
        return fits(step, host) && (!canWait || canProgress(step, host));
    }

    /**
     * Checks whether a task fits on a worker.
     *
     * @param step the step
     * @param host the worker
     * @return false if the label, the room or the limit of tasks per worker rules the worker out
     */
    public static boolean fits(StepSpec step, HostView host) {
        return hasProcessor(step, host) && fitsBeside(step, host);
    }

    private static boolean hasProcessor(StepSpec step, HostView host) {
        return step.fill() || step.cpuMillis() <= host.cpuFreeMillis();
    }

    private static boolean fitsBeside(StepSpec step, HostView host) {
        return host.matchesLabel()
                && step.memoryMb() <= host.memoryFreeMb()
                && step.accelerators() <= host.acceleratorsFree()
                && (step.maxPerWorker() == 0 || host.runsOfStep() < step.maxPerWorker());
    }

    /**
     * Chooses the worker to keep free for a task that found no processor: among the workers that have enough processor
     * once all their short tasks have ended, the one with the most free processor now.
     *
     * <p>Load pattern: a full pool in which small tasks end and start all the time. The next small task took all processor
     * that became free, so that larger tasks waited until the load peak had passed.
     *
     * @param step the step
     * @param hosts the workers to choose from
     * @return the index of the worker to keep free, empty if the end of short tasks makes room on none
     */
    public static OptionalInt hold(StepSpec step, List<HostView> hosts) {
        int best = -1;
        for (int i = 0; i < hosts.size(); i++) {
            HostView host = hosts.get(i);
            int shortTaskMillis = host.cpuMillis() - host.cpuFreeMillis() - host.servingCpuMillis();
            boolean willFit = step.cpuMillis() <= host.cpuFreeMillis() + shortTaskMillis && fitsBeside(step, host);
            if (willFit && (best < 0 || host.cpuFreeMillis() > hosts.get(best).cpuFreeMillis())) {
                best = i;
            }
        }
        return best < 0 ? OptionalInt.empty() : OptionalInt.of(best);
    }

    /**
     * Checks whether a task would make progress on a worker. Fill work that would not is better kept in the queue, from
     * where it can start on the first worker that becomes free.
     *
     * @param step the step
     * @param host the worker
     * @return false for fill work that would take a lasting task over its target or find no unused processor
     */
    public static boolean canProgress(StepSpec step, HostView host) {
        boolean roomLeft =
                host.fillCpuMillis() == 0 || host.fillCpuMillis() + step.cpuMillis() <= unusedCpuMillis(host);
        return !step.fill() || host.disturbance() <= 1 && roomLeft;
    }

    /**
     * Why a task found no worker: how many workers each reason ruled out, the first that applies.
     *
     * @param mismatch the required label is missing, or the limit of tasks of the step per worker is reached
     * @param noProcessor less free processor than the task reserves
     * @param noMemory enough free processor, but not enough memory or accelerators
     * @param disturbed the task would take a lasting task over its target
     * @param crowded other fill work uses the processor that lasting tasks leave unused
     * @param leastDisturbance the lowest disturbance among workers with room, empty if none has room
     */
    public record Refusals(
            int mismatch, int noProcessor, int noMemory, int disturbed, int crowded, OptionalDouble leastDisturbance) {}

    /**
     * Counts why a task that can wait finds no worker.
     *
     * @param step the step
     * @param hosts the workers to choose from
     * @return the number of workers by the first reason that rules each of them out
     */
    public static Refusals refusals(StepSpec step, List<HostView> hosts) {
        int mismatch = 0;
        int noProcessor = 0;
        int noMemory = 0;
        int disturbed = 0;
        int crowded = 0;
        double least = Double.MAX_VALUE;
        for (HostView host : hosts) {
            boolean tooMany = step.maxPerWorker() > 0 && host.runsOfStep() >= step.maxPerWorker();
            if (!host.matchesLabel() || tooMany) {
                mismatch++;
            } else if (!hasProcessor(step, host)) {
                noProcessor++;
            } else if (!fits(step, host)) {
                noMemory++;
            } else {
                least = Math.min(least, host.disturbance());
                disturbed += host.disturbance() > 1 ? 1 : 0;
                crowded += host.disturbance() <= 1 && !canProgress(step, host) ? 1 : 0;
            }
        }
        boolean room = least < Double.MAX_VALUE;
        return new Refusals(
                mismatch,
                noProcessor,
                noMemory,
                disturbed,
                crowded,
                room ? OptionalDouble.of(least) : OptionalDouble.empty());
    }

    private static double cost(StepSpec step, HostView host) {
        double cost = 1 - (double) host.cpuFreeMillis() / Math.max(1, host.cpuMillis());
        cost += host.inDataRack() ? 0 : REMOTE_RACK_COST;
        cost += host.inStepRack() ? 0 : REMOTE_RACK_COST;
        cost += host.failedTask() ? FAILED_COST : 0;
        cost += host.runsOfStep() * SIBLING_COST;
        cost += host.failurePenalty();
        if (step.fill()) {
            cost += Math.min(MAX_DISTURBANCE, host.disturbance()) * DISTURBANCE_COST;
            cost += crowding(step, host) + FILL_TOLERANCE_COST * host.fillTolerance();
        } else if (step.lasting() && step.targetMs() > 0) {
            cost += host.serving() == 0 ? NEW_GROUP_COST : SENSITIVITY_DIFFERENCE_COST * host.sensitivityDifference();
            cost += host.runsOfStep() * LASTING_SIBLING_COST;
        }
        return cost;
    }

    /**
     * Returns the cost of fill work that shares the unused processor with other fill work. Unused is the free processor
     * and the part of their reservations that lasting tasks do not use.
     *
     * @param step the step
     * @param host the worker
     * @return the cost, 0 on a worker without fill work and with enough unused processor
     */
    private static double crowding(StepSpec step, HostView host) {
        double wanted = host.fillCpuMillis() + step.cpuMillis();
        double crowded = Math.max(0, wanted - unusedCpuMillis(host)) / Math.max(1, host.cpuMillis());
        return crowded * CROWDED_COST + (double) host.fillCpuMillis() / Math.max(1, host.cpuMillis());
    }

    private static double unusedCpuMillis(HostView host) {
        return host.cpuFreeMillis() + host.servingCpuMillis() * (1 - LASTING_USE_SHARE);
    }
}
