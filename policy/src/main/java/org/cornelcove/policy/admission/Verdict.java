package org.cornelcove.policy.admission;

import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;

/**
 * The decision on an arriving request.
 *
 * @param refusal why it was refused; empty when it was queued
 * @param predictedWaitUs how long it is expected to wait for a slot
 * @param retryAfterMs when a refused caller may come back; 0 when queued
 */
public record Verdict(Optional<ErrorKind> refusal, long predictedWaitUs, long retryAfterMs) {
    /** Returns the verdict of a request that was queued. */
    public static Verdict admitted(long predictedWaitUs) {
        return new Verdict(Optional.empty(), predictedWaitUs, 0);
    }

    /** Returns the verdict of a request that was turned away. */
    public static Verdict refused(ErrorKind why, long predictedWaitUs, long retryAfterMs) {
        return new Verdict(Optional.of(why), predictedWaitUs, retryAfterMs);
    }

    /** Tells whether the request was queued. */
    public boolean isAdmitted() {
        return refusal.isEmpty();
    }

    /** Returns the value of the header {@code Retry-After}: whole seconds, rounded up. */
    public long retryAfterSeconds() {
        return (retryAfterMs + 999) / 1000;
    }
}
