package org.cornelcove.model.job;

/** The kind of a job, which decides how it is placed and whether it may be evicted. */
public enum JobKind {
    /** A long-running executor of a service; never evicted for batch work. */
    SERVICE,
    /** Work that may wait, be throttled, checkpointed and evicted. */
    BATCH
}
