package org.cornelcove.testkit;

/**
 * What a target did with a request.
 *
 * @param target the target
 * @param requestId the request
 * @param key its idempotency key, empty for none
 * @param what {@code started}, {@code ended}, {@code refused}, {@code killed} while it ran, or {@code leaving}, without a
 *     request, once it has said so
 * @param atMs Unix milliseconds
 */
public record TargetEvent(String target, String requestId, String key, String what, long atMs) {}
