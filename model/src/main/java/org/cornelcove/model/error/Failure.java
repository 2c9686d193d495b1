package org.cornelcove.model.error;

/**
 * One error with its text.
 *
 * @param kind the kind
 * @param message what happened and the remedy, in one line
 */
public record Failure(ErrorKind kind, String message) {
    /** Returns a failure whose message is the kind's template filled with the arguments. */
    public static Failure of(ErrorKind kind, Object... arguments) {
        return new Failure(kind, kind.message(arguments));
    }

    /** Returns this failure as an exception. */
    public FailureException asException() {
        return new FailureException(this);
    }

    @Override
    public String toString() {
        return "error(" + kind.number() + "): " + message;
    }
}
