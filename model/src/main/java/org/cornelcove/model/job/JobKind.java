package org.cornelcove.model.job;

/** What a job is for the placement. */
public enum JobKind {
    /** A long-running executor of a service; never evicted for batch work. */
    SERVICE,
    /** Work that may wait, be throttled, checkpointed and evicted. */
    BATCH
}
