package org.cornelcove.daemon.settings;

/** What a daemon does. */
public enum Role {
    /** Takes callers' requests and dispatches them to targets. */
    ENTRY,
    /** Keeps the replicated log; one control host leads. */
    CONTROL
}
