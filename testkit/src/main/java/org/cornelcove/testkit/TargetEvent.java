package org.cornelcove.testkit;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * An event of a target or of a request on it.
 *
 * @param target the id of the target
 * @param requestId the id of the request, empty for an event of the target itself
 * @param key its idempotency key, empty for none
 * @param what {@code started}, {@code ended}, {@code refused}, {@code killed} while it ran; or, without a request,
 *     {@code leaving} once the target has announced it, {@code silent} when it is frozen, {@code heard} when it is
 *     thawed
 * @param atUs the time in Unix microseconds, to order the events of targets in several processes
 */
public record TargetEvent(String target, String requestId, String key, String what, long atUs) {
    private static final long US_PER_MS = 1_000;

    /**
     * Returns an event with the current time.
     *
     * @param target the id of the target
     * @param requestId the id of the request, empty for none
     * @param key its idempotency key, empty for none
     * @param what the kind of event, see {@link TargetEvent}
     * @return the event
     */
    public static TargetEvent now(String target, String requestId, String key, String what) {
        return new TargetEvent(target, requestId, key, what, ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
    }

    /**
     * Returns the time of the event.
     *
     * @return Unix milliseconds, rounded down
     */
    public long atMs() {
        return atUs / US_PER_MS;
    }
}
