package org.cornelcove.testkit;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * What a target did with a request.
 *
 * @param target the target
 * @param requestId the request
 * @param key its idempotency key, empty for none
 * @param what {@code started}, {@code ended}, {@code refused}, {@code killed} while it ran, or {@code leaving}, without a
 *     request, once it has said so
 * @param atUs Unix microseconds, so that what targets in several processes wrote down can be put in order
 */
public record TargetEvent(String target, String requestId, String key, String what, long atUs) {
    private static final long US_PER_MS = 1_000;

    /**
     * Returns an event of now.
     *
     * @param target the target
     * @param requestId the request
     * @param key its key
     * @param what what it did
     * @return the event
     */
    public static TargetEvent now(String target, String requestId, String key, String what) {
        return new TargetEvent(target, requestId, key, what, ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    }

    /**
     * Returns when it was.
     *
     * @return Unix milliseconds
     */
    public long atMs() {
        return atUs / US_PER_MS;
    }
}
