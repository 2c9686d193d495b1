package org.cornelcove.work.lead;

import org.cornelcove.work.job.JobPhase;

/**
 * The answer to a caller's request about a job or a queue.
 *
 * @param outcome the result of the request
 * @param phase the phase of the job, null unless {@code outcome} is {@code SHOWN}
 * @param pending the number of jobs of the queue that have not started
 * @param retryAfterS seconds until a retry, 0 unless the request was refused
 */
public record JobReply(Outcome outcome, JobPhase phase, long pending, int retryAfterS) {
    /** The result of a request. */
    public enum Outcome {
        /** The job is stored. */
        ACCEPTED,
        /** The job is cancelled, or has ended otherwise. */
        CANCELLED,
        /** The answer has the phase of the job. */
        SHOWN,
        /** The answer has the count of the queue. */
        COUNTED,
        /** No queue has this host and path. */
        NO_QUEUE,
        /** No job has this id. */
        NO_JOB,
        /** The job is malformed. */
        INVALID,
        /** Nothing was done; the caller may retry later. */
        REFUSED
    }

    static JobReply of(Outcome outcome) {
        return new JobReply(outcome, null, 0, 0);
    }

    /**
     * Returns the answer to a request that was not carried out.
     *
     * @param retryAfterS seconds until a retry
     * @return an answer without a phase and a count
     */
    public static JobReply refused(int retryAfterS) {
        return new JobReply(Outcome.REFUSED, null, 0, retryAfterS);
    }
}
