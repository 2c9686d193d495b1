package org.cornelcove.testkit;

/**
 * What a target did with a request.
 *
 * @param target the target
 * @param requestId the request
 * @param key its idempotency key, empty for none
 * @param what {@code started}, {@code ended} or {@code refused}
 * @param atMs Unix milliseconds
 */
public record TargetEvent(String target, String requestId, String key, String what, long atMs) {}
