package org.cornelcove.entry;

import java.util.List;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;

/**
 * A complete request. Instants are of the monotonic clock.
 *
 * @param id the request's id
 * @param service the rule of its service
 * @param tenant the tenant
 * @param requestClass how often it may run
 * @param key the idempotency key, empty for none
 * @param origin where it was received from
 * @param arrivedNs when it arrived
 * @param deadlineNs when its answer is due
 * @param method the HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body the body
 * @param trace the decisions made about it
 */
record ServiceRequest(
        String id,
        ServiceRule service,
        String tenant,
        RequestClass requestClass,
        String key,
        Origin origin,
        long arrivedNs,
        long deadlineNs,
        String method,
        String uri,
        List<Header> headers,
        byte[] body,
        RequestTrace trace) {

    /** The sender of a request to this entry. */
    enum Origin {
        /** From a caller. */
        CALLER,
        /** From another entry, which queues it itself if it cannot start here immediately. */
        PEER_START_NOW,
        /** From another entry; may be queued here. */
        PEER_MAY_QUEUE
    }

    /** Returns the kind of work within its service, the key under which run times are recorded. */
    String workKind() {
        int query = uri.indexOf('?');
        return method + ' ' + (query < 0 ? uri : uri.substring(0, query));
    }

    boolean isForwarded() {
        return origin != Origin.CALLER;
    }
}
