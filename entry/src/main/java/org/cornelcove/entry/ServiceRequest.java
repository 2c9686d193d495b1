package org.cornelcove.entry;

import java.util.List;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;

/**
 * A whole request as the entry treats it. Instants are of the monotonic clock.
 *
 * @param id the request's id
 * @param service the rule of its service
 * @param tenant the tenant
 * @param requestClass how often it may run
 * @param key the idempotency key, empty for none
 * @param origin how it came here
 * @param arrivedNs when it arrived
 * @param deadlineNs when its answer has to be there
 * @param method the HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body the body
 * @param trace what was decided about it
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

    /** How a request came to this entry. */
    enum Origin {
        /** From a caller. */
        CALLER,
        /** From another entry, which serves it itself when it can't start here at once. */
        PEER_START_NOW,
        /** From another entry, to wait here if it has to. */
        PEER_MAY_QUEUE
    }

    /** Returns the kind of work within its service, by which run times are learned. */
    String workKind() {
        int query = uri.indexOf('?');
        return method + ' ' + (query < 0 ? uri : uri.substring(0, query));
    }

    boolean isForwarded() {
        return origin != Origin.CALLER;
    }
}
