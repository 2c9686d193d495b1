package org.cornelcove.daemon.api;

import java.nio.charset.StandardCharsets;

import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ErrorView;
import org.cornelcove.wire.Json;

/**
 * An answer of the api listener.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body
 * @param body the encoded body, empty for none
 */
public record ApiAnswer(int status, String contentType, byte[] body) {
    private static final String JSON = "application/json";

    /** Returns an answer with status 200 and the message as JSON. */
    public static ApiAnswer json(Object message) {
        return new ApiAnswer(200, JSON, Json.encode(message));
    }

    /** Returns an answer in plain text. */
    public static ApiAnswer text(int status, String text) {
        return new ApiAnswer(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns an answer with status 204 and no body. */
    public static ApiAnswer empty() {
        return new ApiAnswer(204, JSON, new byte[0]);
    }

    /** Returns the answer for a failure: its view as JSON, with the status of its kind. */
    public static ApiAnswer failure(Failure failure) {
        ErrorView view = new ErrorView(
                failure.kind().number(),
                failure.kind().name(),
                failure.kind().severity().name(),
                failure.message());
        return new ApiAnswer(ApiStatuses.of(failure.kind()), JSON, Json.encode(view));
    }
}
