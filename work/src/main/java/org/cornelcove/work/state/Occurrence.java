package org.cornelcove.work.state;

import java.util.List;

import org.cornelcove.work.job.StepSpec;

/** The tasks of one occurrence of a job, by step and index. Changed only by {@link WorkState}. */
public final class Occurrence {
    final Task[][] tasks;
    final int[] doneCounts;

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
     * Returns the tasks of a step.
     *
     * @param step the step
     * @return the tasks of a step
     */
    public Task[] step(int step) {
        return tasks[step];
    }

    /**
     * Tells whether all tasks of a step are done.
     *
     * @param step the step
     * @return whether all tasks of a step are done
     */
    public boolean stepDone(int step) {
        return doneCounts[step] == tasks[step].length;
    }

    /**
     * Tells whether all tasks are done.
     *
     * @return whether all tasks are done
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
     * Tells whether all earlier steps that a step waits for are done.
     *
     * @param spec the step
     * @return whether all earlier steps that a step waits for are done
     */
    public boolean stepReady(StepSpec spec) {
        return spec.after().stream().allMatch(this::stepDone);
    }
}
