package org.cornelcove.entry;

import java.util.List;

import org.cornelcove.model.request.RequestClass;

/**
 * A request forwarded from one entry to another.
 *
 * @param requestId the request's id
 * @param service the service
 * @param tenant the tenant
 * @param requestClass how often it may run
 * @param key the idempotency key, empty for none
 * @param claimed whether the sender holds the claim on the key
 * @param remainingMs the time until its deadline
 * @param method the HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body the body
 * @param mayQueue whether the receiver may queue it; otherwise it is refused unless it can start immediately
 */
public record ForwardedRequest(
        String requestId,
        String service,
        String tenant,
        RequestClass requestClass,
        String key,
        boolean claimed,
        long remainingMs,
        String method,
        String uri,
        List<Header> headers,
        byte[] body,
        boolean mayQueue) {}
