package org.cornelcove.wire;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Splits the stream into frames: a four-byte big-endian length followed by that many bytes. A frame whose length
 * exceeds the limit closes the connection before its body is buffered.
 */
final class FrameFilter extends BaseFilter {
    static final int MAX_FRAME_BYTES = 64 << 20;
    private static final int LENGTH_BYTES = 4;

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer input = context.getMessage();
        if (input.remaining() < LENGTH_BYTES) {
            return context.getStopAction(input);
        }
        int lengthBytes = input.getInt(input.position());
        if (lengthBytes < 0 || lengthBytes > MAX_FRAME_BYTES) {
            input.tryDispose();
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        int totalBytes = LENGTH_BYTES + lengthBytes;
        if (input.remaining() < totalBytes) {
            return context.getStopAction(input);
        }
        Buffer rest = input.remaining() > totalBytes ? input.split(input.position() + totalBytes) : null;
        return deliver(context, input, rest, lengthBytes);
    }

    private static NextAction deliver(FilterChainContext context, Buffer input, Buffer rest, int lengthBytes) {
        input.position(input.position() + LENGTH_BYTES);
        byte[] frame = new byte[lengthBytes];
        input.get(frame);
        input.tryDispose();
        try {
            context.setMessage(Envelope.decode(frame));
        } catch (FailureException e) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        return context.getInvokeAction(rest);
    }

    @Override
    public NextAction handleWrite(FilterChainContext context) throws IOException {
        byte[] frame = context.<Envelope>getMessage().encode();
        if (frame.length > MAX_FRAME_BYTES) {
            throw new IOException(Failure.of(ErrorKind.FRAME_TOO_LARGE, frame.length, MAX_FRAME_BYTES)
                    .message());
        }
        // One buffer of its own: Grizzly reuses composite buffers, also while a closing connection still writes them.
        byte[] bytes = ByteBuffer.allocate(LENGTH_BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
        context.setMessage(Buffers.wrap(context.getMemoryManager(), bytes));
        return context.getInvokeAction();
    }
}
