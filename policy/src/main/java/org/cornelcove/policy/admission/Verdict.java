package org.cornelcove.policy.admission;

import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;

/**
 * The decision on an arriving request.
 *
 * @param refusal the reason of the refusal; empty if the request was queued
 * @param predictedWaitUs the predicted wait for a slot in microseconds
 * @param retryAfterMs the delay in ms after which a refused caller may retry; 0 if queued
 */
public record Verdict(Optional<ErrorKind> refusal, long predictedWaitUs, long retryAfterMs) {
    /** Returns the verdict for a queued request. */
    public static Verdict admitted(long predictedWaitUs) {
        return new Verdict(Optional.empty(), predictedWaitUs, 0);
    }

    /** Returns the verdict for a refused request. */
    public static Verdict refused(ErrorKind why, long predictedWaitUs, long retryAfterMs) {
        return new Verdict(Optional.of(why), predictedWaitUs, retryAfterMs);
    }

    /** Checks whether the request was queued. */
    public boolean isAdmitted() {
        return refusal.isEmpty();
    }

    /** Returns the value of the header {@code Retry-After}: whole seconds, rounded up. */
    public long retryAfterSeconds() {
        return (retryAfterMs + 999) / 1000;
    }
}
