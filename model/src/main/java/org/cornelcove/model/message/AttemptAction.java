package org.cornelcove.model.message;

/** The action that a worker takes on an attempt. */
public enum AttemptAction {
    /** Start it, or continue if it is running already. Renews the lease. */
    RUN,
    /** Run it at a reduced rate. Renews the lease. */
    THROTTLE,
    /** Write a checkpoint, then stop and report {@code EVICTED}. Renews the lease. */
    EVICT,
    /** Stop at once; the attempt has ended. */
    STOP,
    /** The reported end is recorded; the worker drops the attempt. */
    FORGET
}
