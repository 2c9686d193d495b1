package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * One attempt to send a request to a target.
 *
 * <p>The call moves from {@code CONNECTING} to {@code WRITING} to {@code ENDED}, or directly from {@code CONNECTING} to
 * {@code ENDED}. Each transition is one compare-and-set, and only the thread that makes the last one reports the end.
 * So a call aborted while it waits for a connection is proved unwritten, since {@code WRITING} can no longer be
 * entered; a call aborted later is unknown, regardless of any later event. {@code WRITING} is entered before the bytes
 * are passed to the connection, which is conservative: a write that failed before any byte was sent counts as unknown.
 *
 * <p>An answer is matched to its call by the connection, which carries one call at a time. The connection of a call
 * that ended without a complete answer is closed and never reused, so a late answer cannot be matched to another call.
 */
final class TargetCall {
    private static final int MIN_BODY_BYTES = 512;
    private static final String NOT_RUN = "not-run";
    private static final int UNAVAILABLE = 503;

    private enum State {
        CONNECTING,
        WRITING,
        ENDED
    }

    private final ServiceRequest request;
    private final List<Header> dispatchHeaders;
    private final int maxAnswerBytes;
    private final TargetCallListener listener;
    private final AtomicReference<State> state = new AtomicReference<>(State.CONNECTING);
    private volatile Connection<?> connection;

    private byte[] body = new byte[0];
    private int bodyLength;

    TargetCall(ServiceRequest request, List<Header> dispatchHeaders, int maxAnswerBytes, TargetCallListener listener) {
        this.request = request;
        this.dispatchHeaders = dispatchHeaders;
        this.maxAnswerBytes = maxAnswerBytes;
        this.listener = listener;
    }

    ServiceRequest request() {
        return request;
    }

    List<Header> dispatchHeaders() {
        return dispatchHeaders;
    }

    /** Enters the state in which bytes may be sent; returns false if the call was aborted before. */
    boolean startWriting(Connection<?> to) {
        connection = to;
        return state.compareAndSet(State.CONNECTING, State.WRITING);
    }

    /** Ends the call because no connection could be opened. */
    void failToConnect(String why) {
        if (state.compareAndSet(State.CONNECTING, State.ENDED)) {
            listener.onNotWritten(why, true);
        }
    }

    /** Aborts the call in any state, because its deadline passed. */
    void abort(String why) {
        if (state.compareAndSet(State.CONNECTING, State.ENDED)) {
            listener.onNotWritten(why, false);
        } else if (state.compareAndSet(State.WRITING, State.ENDED)) {
            connection.terminateSilently();
            listener.onUnknown(why, false);
        }
    }

    /** Ends the call because its connection failed or its answer is invalid. */
    void fail(String why) {
        if (state.compareAndSet(State.WRITING, State.ENDED)) {
            connection.terminateSilently();
            listener.onUnknown(why, true);
        }
    }

    /**
     * Appends a part of the answer.
     *
     * @param part the part
     * @return whether the answer is complete and the call was not aborted, so that the connection can be reused
     */
    boolean accept(HttpContent part) {
        HttpResponsePacket head = (HttpResponsePacket) part.getHttpHeader();
        if (!append(head, part.getContent())) {
            fail("its answer exceeds " + maxAnswerBytes + " bytes");
            return false;
        }
        if (!part.isLast()) {
            return false;
        }
        if (!isComplete(head)) {
            fail("its answer was truncated");
            return false;
        }
        return state.compareAndSet(State.WRITING, State.ENDED);
    }

    /** Reports the complete answer, after {@link #accept} returned true. */
    void deliver(HttpResponsePacket head) {
        byte[] whole = body.length == bodyLength ? body : Arrays.copyOf(body, bodyLength);
        boolean refusedBeforeRun =
                head.getStatus() == UNAVAILABLE && NOT_RUN.equalsIgnoreCase(head.getHeader(Headers.RUN));
        listener.onAnswer(new TargetAnswer(head.getStatus(), headersOf(head), refusedBeforeRun, whole));
    }

    private boolean append(HttpResponsePacket head, Buffer content) {
        int more = content.remaining();
        if (more == 0) {
            return true;
        }
        if (more > maxAnswerBytes - bodyLength) {
            return false;
        }
        if (body.length < bodyLength + more) {
            body = Arrays.copyOf(body, newCapacity(head, bodyLength + more));
        }
        content.get(body, bodyLength, more);
        content.tryDispose();
        bodyLength += more;
        return true;
    }

    private int newCapacity(HttpResponsePacket head, int needed) {
        long announced = head.getContentLength();
        if (announced >= needed && announced <= maxAnswerBytes) {
            return (int) announced;
        }
        return Math.max(needed, Math.max(MIN_BODY_BYTES, body.length * 2));
    }

    /**
     * An answer delimited by closing the connection cannot be distinguished from a truncated one, so it is rejected.
     */
    private boolean isComplete(HttpResponsePacket head) {
        if (!head.isExpectContent() || head.isChunked()) {
            return true;
        }
        long announced = head.getContentLength();
        return announced >= 0 && (announced == bodyLength || isBodyless(head));
    }

    private boolean isBodyless(HttpResponsePacket head) {
        return "HEAD".equals(request.method()) || head.getStatus() == 204 || head.getStatus() == 304;
    }

    private List<Header> headersOf(HttpResponsePacket head) {
        MimeHeaders all = head.getHeaders();
        String options = head.getHeader("Connection");
        List<Header> passed = new ArrayList<>(all.size());
        for (int i = 0; i < all.size(); i++) {
            String name = all.getName(i).toString();
            if (Headers.isForwarded(name, options)) {
                passed.add(new Header(name, all.getValue(i).toString()));
            }
        }
        if ("HEAD".equals(request.method()) && head.getContentLength() >= 0) {
            passed.add(new Header(Headers.CONTENT_LENGTH, Long.toString(head.getContentLength())));
        }
        return passed;
    }
}
