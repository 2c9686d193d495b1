package org.cornelcove.model.error;

import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Carries a {@link Failure} through code that reports errors by exceptions. */
public final class FailureException extends RuntimeException {
    private final transient Failure failure;

    FailureException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /**
     * Unwraps the {@link CompletionException} that a future adds to the exception it failed with.
     *
     * @param thrown the exception, wrapped or not
     * @return the exception without the wrapper
     */
    public static Throwable causeOf(Throwable thrown) {
        return thrown instanceof CompletionException && thrown.getCause() != null ? thrown.getCause() : thrown;
    }

    /**
     * Finds the failure that an exception carries, wrapped by a future or not.
     *
     * @param thrown the exception
     * @return the failure, empty for an exception of another kind
     */
    public static Optional<Failure> carriedBy(Throwable thrown) {
        return causeOf(thrown) instanceof FailureException known ? Optional.of(known.failure) : Optional.empty();
    }

    /**
     * Returns whether an exception carries a failure of a kind.
     *
     * @param thrown the exception, wrapped by a future or not
     * @param kind the kind
     * @return false for a failure of another kind, for any other exception, and for null
     */
    public static boolean carries(Throwable thrown, ErrorKind kind) {
        return carriedBy(thrown).filter(f -> f.kind() == kind).isPresent();
    }

    /**
     * Returns the failure.
     *
     * @return the failure; null after deserialization, as it is transient
     */
    public Failure failure() {
        return failure;
    }
}
