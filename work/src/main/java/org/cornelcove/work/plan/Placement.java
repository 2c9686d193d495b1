package org.cornelcove.work.plan;

import java.util.List;
import java.util.OptionalInt;

import org.cornelcove.work.job.StepSpec;

/**
 * Chooses the worker for a task: among those with room, the one with the lowest cost.
 *
 * <p>Load pattern: a site half full of lasting tasks, short urgent tasks and fill work at once. Work is spread, so that a
 * crest finds room everywhere; fill work and lasting tasks with a target keep apart, because their harm shows only half
 * a second late. Packing tightly lost: a lost worker took several tasks of one job, and fill work found nothing left.
 */
public final class Placement {
    /** Cost of a rack without the data, in shares of a worker; far work takes a multiple of its time. */
    private static final double FAR_COST = 4;
    /** Cost of putting fill work beside a lasting task with a target, or the other way round. */
    private static final double MIXED_COST = 3;
    /** Cost of another lasting task with a target, whose load disturbs the first. */
    private static final double SERVING_COST = 0.5;
    /** Cost of another fill task on the same worker, which shares what is left. */
    private static final double FILL_COST = 0.35;
    /** Cost of a worker on which this task has failed. */
    private static final double FAILED_COST = 6;
    /** Cost of another task of the same step, so that one lost worker takes few of them. */
    private static final double SIBLING_COST = 0.05;

    private Placement() {}

    /** Returns the place in the list of the best worker, empty when none has room. */
    public static OptionalInt choose(StepSpec step, List<HostView> hosts) {
        int best = -1;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < hosts.size(); i++) {
            HostView host = hosts.get(i);
            if (!fits(step, host)) {
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

    /** Tells whether a task fits on a worker. */
    public static boolean fits(StepSpec step, HostView host) {
        return host.matchesLabel()
                && (step.fill() || step.cpuMillis() <= host.cpuFreeMillis())
                && step.memoryMb() <= host.memoryFreeMb()
                && step.accelerators() <= host.acceleratorsFree()
                && (step.maxPerWorker() == 0 || host.runsOfStep() < step.maxPerWorker());
    }

    private static double cost(StepSpec step, HostView host) {
        double cost = 1 - (double) host.cpuFreeMillis() / Math.max(1, host.cpuMillis());
        cost += host.inDataRack() ? 0 : FAR_COST;
        cost += host.inStepRack() ? 0 : FAR_COST;
        cost += host.failedTask() ? FAILED_COST : 0;
        cost += host.runsOfStep() * SIBLING_COST;
        cost += host.suspicion();
        if (step.fill()) {
            cost += host.serving() > 0 ? MIXED_COST : 0;
            cost += host.fills() * FILL_COST;
        } else if (step.lasting() && step.targetMs() > 0) {
            cost += host.fills() > 0 ? MIXED_COST : 0;
            cost += host.serving() * SERVING_COST;
        }
        return cost;
    }
}
