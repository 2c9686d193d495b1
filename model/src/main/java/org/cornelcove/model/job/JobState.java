package org.cornelcove.model.job;

/** Where a job stands. */
public enum JobState {
    /** Waits for a place. */
    PENDING,
    /** Has an attempt that holds resources on a host. */
    PLACED,
    /** Finished, exactly once. */
    FINISHED,
    /** Given up on, with the reason. */
    FAILED,
    /** Cancelled before it finished. */
    CANCELLED;

    /**
     * Returns whether the state is final.
     *
     * @return whether the state is final
     */
    public boolean isFinal() {
        return this == FINISHED || this == FAILED || this == CANCELLED;
    }
}
