package org.cornelcove.entry;

/** What is known about the run of a request. */
public enum RunState {
    /** A target ran it and answered. */
    DONE,
    /** Not a byte of it went to a target, or the target itself refused it before running it. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
}
