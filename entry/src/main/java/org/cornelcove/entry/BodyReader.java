package org.cornelcove.entry;

import java.io.IOException;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;

/**
 * Reads a request body without blocking. The listener's input buffer collects the parts and calls back once, when the
 * body is complete or exceeds the limit.
 */
final class BodyReader implements ReadHandler {
    private final NIOInputStream input;
    private final long maxBytes;
    private final Result result;

    /** Receives the result of reading; exactly one method is called. */
    interface Result {
        void onComplete(byte[] body);

        void onTooLarge();

        void onCallerClosed(Throwable error);
    }

    private BodyReader(NIOInputStream input, long maxBytes, Result result) {
        this.input = input;
        this.maxBytes = maxBytes;
        this.result = result;
    }

    /** Starts reading a body of at most maxBytes. */
    static void read(NIOInputStream input, long maxBytes, Result result) {
        int limitExceededBytes = (int) Math.min(Integer.MAX_VALUE, maxBytes + 1);
        input.notifyAvailable(new BodyReader(input, maxBytes, result), limitExceededBytes);
    }

    @Override
    public void onDataAvailable() {
        result.onTooLarge();
    }

    @Override
    public void onAllDataRead() throws IOException {
        int length = input.readyData();
        if (length > maxBytes) {
            result.onTooLarge();
            return;
        }
        byte[] body = new byte[length];
        int read = length == 0 ? 0 : input.read(body, 0, length);
        if (read != length) {
            throw new IOException("read " + read + " of " + length + " bytes that were there");
        }
        result.onComplete(body);
    }

    @Override
    public void onError(Throwable error) {
        result.onCallerClosed(error);
    }
}
