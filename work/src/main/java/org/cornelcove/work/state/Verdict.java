package org.cornelcove.work.state;

/** What a command did; the ordinal is its number in a result. */
public enum Verdict {
    /** The state changed as asked. */
    DONE,
    /** The state already was as asked. */
    UNCHANGED,
    /** There is no such job or task. */
    UNKNOWN,
    /** The command does not fit the state, which did not change. */
    REFUSED
}
