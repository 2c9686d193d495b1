package org.cornelcove.model.view;

/** Whether a worker receives attempts. */
public enum WorkerState {
    /** Receives attempts. */
    LIVE,
    /** Asked for no new work. */
    LEAVING,
    /** Fails jobs that succeed on other workers; receives none until its probation. */
    QUARANTINED,
    /** Has not sent a heartbeat recently. */
    SILENT
}
