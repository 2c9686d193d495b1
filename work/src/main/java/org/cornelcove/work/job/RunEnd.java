package org.cornelcove.work.job;

/** How a run of a task ended. */
public enum RunEnd {
    /** It finished its work. */
    DONE,
    /** It failed by its own fault or the worker's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited in vain for the other members of its gang. */
    ALONE,
    /** It never began, or its worker is gone. */
    LOST
}
