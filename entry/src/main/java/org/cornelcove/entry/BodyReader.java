package org.cornelcove.entry;

import java.io.IOException;

import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;

/**
 * Reads a request's body without a thread waiting for it. The listener's input buffer gathers the parts and calls back
 * once, when the body is whole or has grown over the limit.
 */
final class BodyReader implements ReadHandler {
    private final NIOInputStream input;
    private final long maxBytes;
    private final Result result;

    /** Hears how the reading ended; exactly one method is called. */
    interface Result {
        void whole(byte[] body);

        void tooLarge();

        void callerGone(Throwable error);
    }

    private BodyReader(NIOInputStream input, long maxBytes, Result result) {
        this.input = input;
        this.maxBytes = maxBytes;
        this.result = result;
    }

    /** Starts to read a body of at most maxBytes. */
    static void read(NIOInputStream input, long maxBytes, Result result) {
        int tooMany = (int) Math.min(Integer.MAX_VALUE, maxBytes + 1);
        input.notifyAvailable(new BodyReader(input, maxBytes, result), tooMany);
    }

    @Override
    public void onDataAvailable() {
        result.tooLarge();
    }

    @Override
    public void onAllDataRead() throws IOException {
        int length = input.readyData();
        if (length > maxBytes) {
            result.tooLarge();
            return;
        }
        byte[] body = new byte[length];
        int read = length == 0 ? 0 : input.read(body, 0, length);
        if (read != length) {
            throw new IOException("read " + read + " of " + length + " bytes that were there");
        }
        result.whole(body);
    }

    @Override
    public void onError(Throwable error) {
        result.callerGone(error);
    }
}
