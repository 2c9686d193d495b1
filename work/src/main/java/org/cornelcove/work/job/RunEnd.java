package org.cornelcove.work.job;

/** How a run of a task ended. */
public enum RunEnd {
    /** The task completed. */
    DONE,
    /** The task failed, by its own fault or the worker's. */
    FAILED,
    /** The leader ordered the worker to stop it. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not start in time. */
    ALONE,
    /** It never started, or its worker disappeared. */
    LOST
}
