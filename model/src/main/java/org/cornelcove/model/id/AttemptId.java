package org.cornelcove.model.id;

/**
 * Identifies one attempt to run a job. Numbers rise by one for each new attempt; a report with a number older than the
 * job's current one is ignored.
 *
 * @param job the job
 * @param number 1 for the first attempt
 */
public record AttemptId(JobId job, int number) {
    /** Returns the attempt with the given number. */
    public static AttemptId of(JobId job, int number) {
        return new AttemptId(job, number);
    }

    @Override
    public String toString() {
        return job + "#" + number;
    }
}
