package org.cornelcove.model.job;

/** The state of a job. */
public enum JobState {
    /** Waits to be placed. */
    PENDING,
    /** Has an attempt that holds resources on a host. */
    PLACED,
    /** Finished, exactly once. */
    FINISHED,
    /** Failed for good; the reason is recorded. */
    FAILED,
    /** Cancelled before it finished. */
    CANCELLED;

    /**
     * Returns whether the state is final.
     *
     * @return true for {@code FINISHED}, {@code FAILED} and {@code CANCELLED}
     */
    public boolean isFinal() {
        return this == FINISHED || this == FAILED || this == CANCELLED;
    }
}
