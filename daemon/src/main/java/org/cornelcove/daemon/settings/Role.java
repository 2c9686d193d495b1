package org.cornelcove.daemon.settings;

/** A role of a daemon. */
public enum Role {
    /** Takes callers' requests and dispatches them to targets. */
    ENTRY,
    /** Keeps the replicated log; one control host leads. */
    CONTROL
}
