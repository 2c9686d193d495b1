package org.cornelcove.model.job;

/** How an attempt ended. */
public enum AttemptEnd {
    /** The task is done. */
    FINISHED,
    /** The task failed. */
    FAILED,
    /** Stopped after its checkpoint was acknowledged; the job resumes from there. */
    EVICTED,
    /** The worker stopped responding, and its lease plus the clock drift bound has expired. */
    LOST
}
