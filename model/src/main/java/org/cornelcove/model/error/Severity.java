package org.cornelcove.model.error;

/** How grave an error is. */
public enum Severity {
    /** The input or the moment is wrong; the asker can mend it or come back. */
    WARNING,
    /** The asked-for thing failed. */
    ERROR,
    /** The process can't go on. */
    FATAL
}
