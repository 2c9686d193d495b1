package org.cornelcove.work.plan;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;

import org.cornelcove.work.job.StepSpec;

/**
 * Chooses the worker for a task: among those with room, the one with the lowest cost.
 *
 * <p>Load pattern: a site half full of lasting tasks, short urgent tasks and fill work at once. Work is spread, so that a
 * crest finds room everywhere. Lasting tasks with a target gather by the fill work that they bear, so that each kind of it
 * finds workers where it disturbs nothing; mixed evenly, each worker held some task that some fill work disturbs. Fill
 * work that disturbs little leaves the workers that bear everything to the rest. Packing tightly lost: a lost worker took
 * several tasks of one job, and fill work found nothing left.
 */
public final class Placement {
    /** Cost of a rack without the data, in shares of a worker; far work takes a multiple of its time. */
    private static final double FAR_COST = 4;
    /** Cost of fill work that takes a lasting task all the way to its target. */
    private static final double DISTURBANCE_COST = 2;
    /** Beyond this, fill work would only stand still. */
    private static final double MAX_DISTURBANCE = 3;
    /** Cost of fill work beyond what the worker is likely to leave, in shares of the worker. */
    private static final double CROWDED_COST = 4;
    /** What lasting tasks use of what they reserve, on the average. */
    private static final double SERVING_USE = 0.5;
    /** Cost of a worker whose lasting tasks bear other fill work than the new one does. */
    private static final double STRANGE_COST = 3;
    /** Cost, to a lasting task with a target, of a worker without any: its kind fills up the workers that it has. */
    private static final double NEW_GROUP_COST = 1.5;
    /** Cost of another lasting task of the same step, which a lost worker would take with it. */
    private static final double LASTING_SIBLING_COST = 0.9;
    /** Cost, to fill work, of a worker on which all fill work could run. */
    private static final double OPEN_COST = 1.5;
    /** Cost of a worker on which this task has failed. */
    private static final double FAILED_COST = 6;
    /** Cost of another task of the same step, so that one lost worker takes few of them. */
    private static final double SIBLING_COST = 0.05;

    private Placement() {}

    /**
     * Chooses a worker for a task.
     *
     * @param step the step
     * @param hosts the workers to choose from
     * @param patient whether the task can wait for a worker on which it would do more than stand still
     * @return the place in the list of the best worker, empty when there is none now
     */
    public static OptionalInt choose(StepSpec step, List<HostView> hosts, boolean patient) {
        int best = -1;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < hosts.size(); i++) {
            HostView host = hosts.get(i);
            if (!fits(step, host) || patient && !worthwhile(step, host)) {
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
     * Tells whether a task fits on a worker.
     *
     * @param step the step
     * @param host the worker
     * @return whether a task fits on a worker
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
     * Chooses the worker to keep free for a task that found no processor: one on which enough becomes free when the tasks
     * that are soon done have ended, among these the one that lacks the least now.
     *
     * <p>Load pattern: a full pool in which small tasks end and begin all the time. Each piece that became free was taken
     * by the next small task, so that larger ones waited until the crest was over.
     *
     * @param step the step
     * @param hosts the workers to choose from
     * @return the place in the list of the worker to keep free, empty when waiting would not help on any
     */
    public static OptionalInt hold(StepSpec step, List<HostView> hosts) {
        int best = -1;
        for (int i = 0; i < hosts.size(); i++) {
            HostView host = hosts.get(i);
            int passingMillis = host.cpuMillis() - host.cpuFreeMillis() - host.servingCpuMillis();
            boolean willFit = step.cpuMillis() <= host.cpuFreeMillis() + passingMillis && fitsBeside(step, host);
            if (willFit && (best < 0 || host.cpuFreeMillis() > hosts.get(best).cpuFreeMillis())) {
                best = i;
            }
        }
        return best < 0 ? OptionalInt.empty() : OptionalInt.of(best);
    }

    /**
     * Tells whether fill work would do more than stand still on a worker. Elsewhere it is better off in the queue, from
     * which it can still go to the first worker that becomes free.
     *
     * @param step the step
     * @param host the worker
     * @return false for fill work that would disturb a lasting task, or find nothing left
     */
    public static boolean worthwhile(StepSpec step, HostView host) {
        boolean roomLeft = host.fillCpuMillis() == 0 || host.fillCpuMillis() + step.cpuMillis() <= left(host);
        return !step.fill() || host.disturbance() <= 1 && roomLeft;
    }

    /**
     * Why a task found no worker: how many workers each reason ruled out, the first that applies.
     *
     * @param mismatch another label, or enough tasks of the step there
     * @param noProcessor no processor left of what the task reserves
     * @param noMemory processor, but no memory or accelerator left
     * @param disturbed the task would take a lasting task over its target
     * @param crowded other fill work takes what is left
     * @param leastDisturbance the lowest disturbance among workers with room, empty when none has room
     */
    public record Refusals(
            int mismatch, int noProcessor, int noMemory, int disturbed, int crowded, OptionalDouble leastDisturbance) {}

    /**
     * Counts why a patient task finds no worker.
     *
     * @param step the step
     * @param hosts the workers to choose from
     * @return how many workers each reason rules out
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
                crowded += host.disturbance() <= 1 && !worthwhile(step, host) ? 1 : 0;
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
        cost += host.inDataRack() ? 0 : FAR_COST;
        cost += host.inStepRack() ? 0 : FAR_COST;
        cost += host.failedTask() ? FAILED_COST : 0;
        cost += host.runsOfStep() * SIBLING_COST;
        cost += host.suspicion();
        if (step.fill()) {
            cost += Math.min(MAX_DISTURBANCE, host.disturbance()) * DISTURBANCE_COST;
            cost += crowding(step, host) + OPEN_COST * host.openness();
        } else if (step.lasting() && step.targetMs() > 0) {
            cost += host.serving() == 0 ? NEW_GROUP_COST : STRANGE_COST * host.strangeness();
            cost += host.runsOfStep() * LASTING_SIBLING_COST;
        }
        return cost;
    }

    /**
     * Fill work takes what the rest leaves: what is free, and what lasting tasks reserve and don't use.
     *
     * @param step the step
     * @param host the worker
     * @return how crowded the worker would be, in shares of it
     */
    private static double crowding(StepSpec step, HostView host) {
        double wanted = host.fillCpuMillis() + step.cpuMillis();
        double crowded = Math.max(0, wanted - left(host)) / Math.max(1, host.cpuMillis());
        return crowded * CROWDED_COST + (double) host.fillCpuMillis() / Math.max(1, host.cpuMillis());
    }

    private static double left(HostView host) {
        return host.cpuFreeMillis() + host.servingCpuMillis() * (1 - SERVING_USE);
    }
}
