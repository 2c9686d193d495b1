package org.cornelcove.model.view;

/** Whether a worker is given work. */
public enum WorkerState {
    /** Takes work. */
    LIVE,
    /** Asked for no new work. */
    LEAVING,
    /** Fails jobs that succeed elsewhere; gets none until its probation. */
    QUARANTINED,
    /** Has not been heard of lately. */
    SILENT
}
