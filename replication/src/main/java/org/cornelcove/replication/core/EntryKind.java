package org.cornelcove.replication.core;

/** What a log entry holds. The order is part of the format on disk and on the wire. */
public enum EntryKind {
    /** Nothing; a new leader appends one, so that something of its own term can be committed. */
    NOOP,
    /** A command for the state machine. */
    COMMAND,
    /** An encoded {@link Membership}, in force from the moment at which it is appended. */
    MEMBERSHIP
}
