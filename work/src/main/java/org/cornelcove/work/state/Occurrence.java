package org.cornelcove.work.state;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcove.work.job.StepSpec;

/** The tasks of one occurrence of a job, by step and index. Modified only by {@link WorkState}. */
public final class Occurrence {
    final Task[][] tasks;
    final int[] doneCounts;
    /** The failed runs of gangs, by step. */
    final Map<Integer, Set<Integer>> failedGangRuns = new TreeMap<>();

    Occurrence(List<StepSpec> steps) {
        tasks = new Task[steps.size()][];
        doneCounts = new int[steps.size()];
        for (int step = 0; step < tasks.length; step++) {
            tasks[step] = new Task[steps.get(step).count()];
            for (int index = 0; index < tasks[step].length; index++) {
                tasks[step][index] = new Task();
            }
        }
    }

    /**
     * Marks a task as done, and with a member of a gang the whole gang, because one end represents all of them. Repeated
     * ends change nothing.
     *
     * @param spec the step
     * @param step its number, counted from 0
     * @param index the task that ended as done
     * @return whether this made the occurrence done, which happens once
     */
    boolean markDone(StepSpec spec, int step, int index) {
        int newlyDone = 0;
        for (Task task : spec.gang() ? tasks[step] : new Task[] {tasks[step][index]}) {
            if (!task.done) {
                task.done = true;
                newlyDone++;
            }
        }
        doneCounts[step] += newlyDone;
        return newlyDone > 0 && done();
    }

    /**
     * Counts a failed run. One run of a gang is one attempt of all its members, however many of them end as failed.
     *
     * @param spec the step
     * @param step its number, counted from 0
     * @param index the task that ended as failed
     * @param runId the number of the run
     */
    void countFailure(StepSpec spec, int step, int index, int runId) {
        if (!spec.gang()) {
            tasks[step][index].failures++;
        } else if (failedGangRuns.computeIfAbsent(step, any -> new TreeSet<>()).add(runId)) {
            for (Task member : tasks[step]) {
                member.failures++;
            }
        }
    }

    /**
     * Returns the tasks of a step.
     *
     * @param step the step, counted from 0
     * @return the tasks by index; not a copy
     */
    public Task[] step(int step) {
        return tasks[step];
    }

    /**
     * Returns whether all tasks of a step are done.
     *
     * @param step the step, counted from 0
     * @return whether no task of the step is left to run
     */
    public boolean stepDone(int step) {
        return doneCounts[step] == tasks[step].length;
    }

    /**
     * Returns whether all tasks are done.
     *
     * @return whether every step is done
     */
    public boolean done() {
        for (int step = 0; step < tasks.length; step++) {
            if (!stepDone(step)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether all steps that a step depends on are done.
     *
     * @param spec the step
     * @return true also for a step without dependencies
     */
    public boolean stepReady(StepSpec spec) {
        return spec.after().stream().allMatch(this::stepDone);
    }
}
