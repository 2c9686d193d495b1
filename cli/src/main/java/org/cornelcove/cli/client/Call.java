package org.cornelcove.cli.client;

import com.fasterxml.jackson.databind.JavaType;
import org.cornelcove.cli.output.Json;

/**
 * One call of the operators' HTTP interface.
 *
 * @param method the HTTP method
 * @param path the path, from the root
 * @param body the request body, written as JSON; null for none
 * @param answer the type of a successful answer; null when it has no body
 * @param idempotent whether the call may be resent after its answer was lost
 */
record Call(String method, String path, Object body, JavaType answer, boolean idempotent) {
    static Call get(String path, Class<?> answer) {
        return new Call("GET", path, null, type(answer), true);
    }

    static Call list(String path, Class<?> element) {
        JavaType answer = Json.MAPPER.getTypeFactory().constructCollectionType(java.util.List.class, element);
        return new Call("GET", path, null, answer, true);
    }

    static Call post(String path, Object body, Class<?> answer) {
        return new Call("POST", path, body, answer == null ? null : type(answer), true);
    }

    static Call delete(String path, Class<?> answer) {
        return new Call("DELETE", path, null, answer == null ? null : type(answer), true);
    }

    /** Returns a copy of this call that is sent at most once. */
    Call once() {
        return new Call(method, path, body, answer, false);
    }

    /** Returns whether the call has no effect, so that a lost answer leaves no unknown outcome. */
    boolean isRead() {
        return method.equals("GET");
    }

    private static JavaType type(Class<?> answer) {
        return Json.MAPPER.constructType(answer);
    }
}
