package org.cornelcove.model.job;

/** How an attempt ended. */
public enum AttemptEnd {
    /** The task is done. */
    FINISHED,
    /** The task failed. */
    FAILED,
    /** Stopped after its checkpoint was acknowledged; the job goes on from there. */
    EVICTED,
    /** The worker fell silent and its lease with the drift bound is over. */
    LOST
}
