package org.cornelcove.model.error;

/** Carries a {@link Failure} through code that can only throw. */
public final class FailureException extends RuntimeException {
    private final transient Failure failure;

    FailureException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /**
     * Returns the failure.
     *
     * @return the failure
     */
    public Failure failure() {
        return failure;
    }
}
