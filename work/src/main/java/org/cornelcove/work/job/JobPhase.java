package org.cornelcove.work.job;

/** The phase of a job. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have ended as done. */
    COMPLETED,
    /** A task has used up its attempts. */
    FAILED,
    /** A caller cancelled it. */
    CANCELLED;

    /**
     * Returns whether the phase is final.
     *
     * @return true if no further task of the job will start
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
