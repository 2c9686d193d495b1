package org.cornelcove.entry;

/** Whether a request was run, as far as known. */
public enum RunState {
    /** A target ran it and answered. */
    DONE,
    /** No byte of it was sent to a target, or the target refused it before running it. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
}
