package org.cornelcove.model.message;

/** What a worker is to do with an attempt. */
public enum AttemptAction {
    /** Start it, or go on if it runs already. Renews the lease. */
    RUN,
    /** Run it at a reduced rate. Renews the lease. */
    THROTTLE,
    /** Write a checkpoint, then stop and report {@code EVICTED}. Renews the lease. */
    EVICT,
    /** Stop at once; the attempt is over. */
    STOP,
    /** The reported end is recorded; the worker forgets the attempt. */
    FORGET
}
