package org.cornelcove.model.error;

/** The severity of an error. */
public enum Severity {
    /** The input is wrong or the condition is temporary; the caller can correct the request or retry. */
    WARNING,
    /** The requested operation failed. */
    ERROR,
    /** The process can't continue. */
    FATAL
}
