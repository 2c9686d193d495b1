package org.cornelcove.work.state;

/** The result of a command. The ordinal is its encoded form. */
public enum Verdict {
    /** The command was applied. */
    DONE,
    /** The command had no effect: the state already reflects it, or the command is obsolete. */
    UNCHANGED,
    /** The job does not exist. */
    UNKNOWN,
    /** The command is not valid in the current state, which is unchanged. */
    REFUSED
}
