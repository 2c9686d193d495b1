package org.cornelcove.control.sim;

/** The steps of jobs and configurations at which faults are injected. */
enum Step {
    SUBMITTED,
    PLACED,
    STARTED,
    CHECKPOINTING,
    EVICTED,
    RESUMED,
    FINISHED,
    CANCELLED,
    PROPOSED,
    COMMITTED,
    ACKNOWLEDGED,
    IN_FORCE
}
