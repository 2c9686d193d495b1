package org.cornelcove.work.lead;

import org.cornelcove.work.job.JobPhase;

/**
 * How a caller's call about a job or a queue is answered.
 *
 * @param outcome what became of it
 * @param phase where the job stands, null unless {@code outcome} is {@code SHOWN}
 * @param pending how many jobs of the queue have not begun
 * @param retryAfterS when to come back, 0 unless the call was refused
 */
public record JobReply(Outcome outcome, JobPhase phase, long pending, int retryAfterS) {
    /** What became of a call. */
    public enum Outcome {
        /** The job is stored. */
        ACCEPTED,
        /** The job is cancelled, or has ended otherwise. */
        CANCELLED,
        /** The state of the job is told. */
        SHOWN,
        /** The count of the queue is told. */
        COUNTED,
        /** No queue has this place. */
        NO_QUEUE,
        /** No such job is known. */
        NO_JOB,
        /** The job can't be read. */
        INVALID,
        /** Nothing was done; come back later. */
        REFUSED
    }

    static JobReply of(Outcome outcome) {
        return new JobReply(outcome, null, 0, 0);
    }

    /**
     * Returns a refusal: nothing was done.
     *
     * @param retryAfterS when to come back
     * @return a refusal: nothing was done
     */
    public static JobReply refused(int retryAfterS) {
        return new JobReply(Outcome.REFUSED, null, 0, retryAfterS);
    }
}
