package org.cornelcove.model.id;

/**
 * Names one attempt to run a job. Numbers rise by one for each new attempt; a report that carries an older number than
 * the job's current one changes nothing.
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
