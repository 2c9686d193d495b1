package org.cornelcove.work.job;

/** Where a job stands. */
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
     * Tells whether nothing of the job will run any more.
     *
     * @return whether nothing of the job will run any more
     */
    public boolean ended() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
