package org.cornelcove.model.request;

/**
 * A target's complete answer as stored in the ledger and replayed for the same idempotency key.
 *
 * @param status the HTTP status
 * @param contentType the media type, empty when the target sent none
 * @param body the body, byte for byte
 */
public record RecordedAnswer(int status, String contentType, byte[] body) {
    /** Returns the given answer. */
    public static RecordedAnswer of(int status, String contentType, byte[] body) {
        return new RecordedAnswer(status, contentType, body);
    }
}
