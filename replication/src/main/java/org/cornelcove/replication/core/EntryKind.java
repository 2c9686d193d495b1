package org.cornelcove.replication.core;

/** The type of a log entry. The order of the constants is part of the disk and wire format. */
public enum EntryKind {
    /** No payload. A new leader appends one, so that it can commit an entry of its own term. */
    NOOP,
    /** A command for the state machine. */
    COMMAND,
    /** An encoded {@link Membership}, in force as soon as it is appended. */
    MEMBERSHIP
}
