package org.cornelcove.entry;

import java.util.List;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;

/**
 * A caller's request before its body is read. The components are those of {@link ServiceRequest}.
 *
 * @param id the request's id
 * @param service the rule of its service
 * @param tenant the tenant
 * @param requestClass how often it may run
 * @param key the idempotency key, empty for none
 * @param arrivedNs when it arrived
 * @param deadlineNs when its answer is due
 * @param method the HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 */
record RequestHead(
        String id,
        ServiceRule service,
        String tenant,
        RequestClass requestClass,
        String key,
        long arrivedNs,
        long deadlineNs,
        String method,
        String uri,
        List<Header> headers) {

    ServiceRequest withBody(byte[] body) {
        RequestTrace trace = new RequestTrace(id, arrivedNs);
        return new ServiceRequest(
                id,
                service,
                tenant,
                requestClass,
                key,
                ServiceRequest.Origin.CALLER,
                arrivedNs,
                deadlineNs,
                method,
                uri,
                headers,
                body,
                trace);
    }
}
