package org.cornelcove.work.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;

/**
 * Draws a few small jobs of all kinds of steps, with dependencies and occurrences, and commands for them. Most commands
 * are valid, so that jobs get to their end.
 */
final class DrawnJobs {
    private static final int JOBS = 2;
    private static final int MAX_STEPS = 2;
    private static final int MAX_TASKS = 3;
    private static final int MAX_OCCURRENCES = 3;
    /** Commands after which the run number rises; the members of a gang started in between share it. */
    private static final int COMMANDS_PER_RUN_NUMBER = 20;

    private static final RunEnd[] ENDS = {
        RunEnd.DONE, RunEnd.DONE, RunEnd.DONE, RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.BROKEN
    };

    private final QueueRule queue;
    private final List<JobSpec> jobs = new ArrayList<>();

    DrawnJobs(Random random, QueueRule queue) {
        this.queue = queue;
        for (int i = 0; i < JOBS; i++) {
            StepSpec[] steps = new StepSpec[1 + random.nextInt(MAX_STEPS)];
            for (int step = 0; step < steps.length; step++) {
                steps[step] = step(random, step);
            }
            int repeatCount = random.nextInt(MAX_OCCURRENCES + 1);
            jobs.add(Steps.repeated("" + (char) ('a' + i), repeatCount, steps));
        }
    }

    private static StepSpec step(Random random, int number) {
        int count = 1 + random.nextInt(MAX_TASKS);
        Integer[] after = number > 0 && random.nextBoolean() ? new Integer[] {number - 1} : new Integer[0];
        return switch (random.nextInt(8)) {
            case 0, 1, 2, 3 -> Steps.gang(count, after);
            case 4, 5 -> Steps.plain(count, after);
            case 6 -> Steps.copies(count, after);
            default -> Steps.lasting("image", 1000, 50);
        };
    }

    private TaskKey task(Random random) {
        JobSpec job = jobs.get(random.nextInt(jobs.size()));
        int step = random.nextInt(job.steps().size());
        // One beyond the last occurrence, step or task now and then.
        int beyond = random.nextInt(30);
        return new TaskKey(
                job.id(),
                random.nextInt(job.schedule().occurrences()) + (beyond == 0 ? 1 : 0),
                step + (beyond == 1 ? 1 : 0),
                random.nextInt(job.steps().get(step).count()) + (beyond == 2 ? 1 : 0));
    }

    /**
     * Draws a command.
     *
     * @param random the source of randomness
     * @param started the starts that were accepted so far
     * @param number the number of the command, counted from 1
     * @return mostly a start, or an end of a run that was started
     */
    WorkCommand command(Random random, List<WorkCommand.Start> started, int number) {
        if (number <= jobs.size()) {
            return new WorkCommand.Submit(jobs.get(number - 1), queue, 1000);
        }
        int kind = random.nextInt(100);
        if (kind == 0) {
            return new WorkCommand.Cancel(jobs.get(random.nextInt(jobs.size())).id(), 1000);
        } else if (kind < 3) {
            return new WorkCommand.Submit(jobs.get(random.nextInt(jobs.size())), queue, 1000);
        } else if (kind < 50 || started.isEmpty()) {
            return new WorkCommand.Start(task(random), 1 + number / COMMANDS_PER_RUN_NUMBER, "w", 7, 1000);
        }
        WorkCommand.Start start = started.get(random.nextInt(started.size()));
        if (kind < 54) {
            return new WorkCommand.RecordCrash(start.task(), start.runId(), 2000);
        }
        return new WorkCommand.End(start.task(), start.runId(), ENDS[random.nextInt(ENDS.length)], "", 2000);
    }
}
