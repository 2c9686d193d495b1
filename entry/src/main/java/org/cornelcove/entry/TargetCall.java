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
 * One request on its way to one target.
 *
 * <p>The call moves from {@code CONNECTING} to {@code WRITING} to {@code ENDED}, or straight from {@code CONNECTING} to
 * {@code ENDED}; each step is one compare-and-set, and whoever makes the last one alone reports the end. So a call that
 * is given up while it waits for a connection is proved unwritten, since the writer can't pass to {@code WRITING} any
 * more; and a call given up after that is unknown, whatever comes later. The mark is set before the bytes are handed
 * over, which errs to the safe side: a write that failed without a byte leaving counts as unknown.
 *
 * <p>An answer is matched by its connection, which carries one call at a time. The connection of a call that ended
 * without a whole answer is closed and never used again, so a late answer has no connection to come in by.
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

    /** Marks the call as written to the connection; false when it was given up before. */
    boolean startWriting(Connection<?> to) {
        connection = to;
        return state.compareAndSet(State.CONNECTING, State.WRITING);
    }

    /** Ends the call for want of a connection. */
    void failToConnect(String why) {
        if (state.compareAndSet(State.CONNECTING, State.ENDED)) {
            listener.onNotWritten(why, true);
        }
    }

    /** Ends the call because its time is over, wherever it is. */
    void giveUp(String why) {
        if (state.compareAndSet(State.CONNECTING, State.ENDED)) {
            listener.onNotWritten(why, false);
        } else if (state.compareAndSet(State.WRITING, State.ENDED)) {
            connection.terminateSilently();
            listener.onUnknown(why, false);
        }
    }

    /** Ends the call because its connection broke. */
    void breakOff(String why) {
        if (state.compareAndSet(State.WRITING, State.ENDED)) {
            connection.terminateSilently();
            listener.onUnknown(why, true);
        }
    }

    /**
     * Takes in a part of the answer.
     *
     * @param part the part
     * @return whether the answer is complete, nobody gave the call up, and so the connection is free again
     */
    boolean accept(HttpContent part) {
        HttpResponsePacket head = (HttpResponsePacket) part.getHttpHeader();
        if (!append(head, part.getContent())) {
            breakOff("its answer is over " + maxAnswerBytes + " bytes");
            return false;
        }
        if (!part.isLast()) {
            return false;
        }
        if (!isWhole(head)) {
            breakOff("its answer was cut off");
            return false;
        }
        return state.compareAndSet(State.WRITING, State.ENDED);
    }

    /** Reports the whole answer, after {@link #accept} took in the last part. */
    void deliver(HttpResponsePacket head) {
        byte[] whole = body.length == bodyLength ? body : Arrays.copyOf(body, bodyLength);
        boolean refused = head.getStatus() == UNAVAILABLE && NOT_RUN.equalsIgnoreCase(head.getHeader(Headers.RUN));
        listener.onAnswer(new TargetAnswer(head.getStatus(), headersOf(head), refused, whole));
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

    /** An answer that ends with its connection can't be told from one cut off, so it never counts as whole. */
    private boolean isWhole(HttpResponsePacket head) {
        if (!head.isExpectContent() || head.isChunked()) {
            return true;
        }
        long announced = head.getContentLength();
        return announced >= 0 && (announced == bodyLength || hasNoBody(head));
    }

    private boolean hasNoBody(HttpResponsePacket head) {
        return "HEAD".equals(request.method()) || head.getStatus() == 204 || head.getStatus() == 304;
    }

    private List<Header> headersOf(HttpResponsePacket head) {
        MimeHeaders all = head.getHeaders();
        String options = head.getHeader("Connection");
        List<Header> passed = new ArrayList<>(all.size());
        for (int i = 0; i < all.size(); i++) {
            String name = all.getName(i).toString();
            if (Headers.isPassed(name, options)) {
                passed.add(new Header(name, all.getValue(i).toString()));
            }
        }
        if ("HEAD".equals(request.method()) && head.getContentLength() >= 0) {
            passed.add(new Header(Headers.CONTENT_LENGTH, Long.toString(head.getContentLength())));
        }
        return passed;
    }
}
