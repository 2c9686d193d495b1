package org.cornelcove.wire;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The connection to one other process, opened when needed. While it is being opened calls wait for it; when that
 * fails they fail as not sent. After a failure the next attempt waits a moment, so that a dead process is not asked
 * again at every call.
 */
final class Peer implements AutoCloseable {
    private static final long RECONNECT_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long CONNECT_TIMEOUT_MS = 1000;
    /** How often a connection in use is tried. */
    static final long PING_EVERY_MS = 400;
    /** A connection that leaves a ping without an answer so long is given up; the next use opens another. */
    private static final long PING_TIMEOUT_MS = 800;
    /** A connection on which something came so recently needs no proof; far below the time in which a host is missed. */
    private static final long PROVED_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** How long a connection may take to prove itself: a round trip, and a pause of a busy host. */
    private static final long PROOF_TIMEOUT_MS = 300;
    /** A connection that was not used for so long is not tried. */
    private static final long IDLE_NS = TimeUnit.SECONDS.toNanos(3);

    private static final Attribute<Open> OPEN = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("cornelcove.peer");

    private final String address;
    private final TCPNIOTransport transport;
    private final ScheduledExecutorService timer;
    /** The connection or the attempt to open it; guarded by this. */
    private CompletableFuture<Open> current;

    private long lastAttemptNs;
    private volatile long lastUsedNs = System.nanoTime();

    Peer(String address, TCPNIOTransport transport, ScheduledExecutorService timer) {
        this.address = address;
        this.transport = transport;
        this.timer = timer;
    }

    static Optional<Open> of(Connection<?> connection) {
        return Optional.ofNullable(OPEN.get(connection));
    }

    CompletableFuture<byte[]> call(String name, byte[] body, long timeoutMs) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        connectionWithin(timeoutMs).whenComplete((open, thrown) -> {
            if (thrown == null) {
                open.request(name, body, timeoutMs, answer);
            } else {
                answer.completeExceptionally(notSent(thrown));
            }
        });
        return answer;
    }

    /** Calls once the connection has shown that it is alive; until then the call is surely not sent. */
    CompletableFuture<byte[]> callProved(String name, byte[] body, long timeoutMs) {
        long startNs = System.nanoTime();
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        connectionWithin(timeoutMs).thenCompose(open -> open.prove(timeoutMs)).whenComplete((open, thrown) -> {
            long leftMs = timeoutMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
            if (thrown == null && leftMs > 0) {
                open.request(name, body, leftMs, answer);
            } else {
                answer.completeExceptionally(notSent(
                        thrown == null ? new IllegalStateException("no time left") : FailureException.causeOf(thrown)));
            }
        });
        return answer;
    }

    /** A host without power lets an attempt to connect hang for longer than a caller may wait. */
    private CompletableFuture<Open> connectionWithin(long timeoutMs) {
        return connection().copy().orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
    }

    void send(String name, byte[] body) {
        connection().thenAccept(open -> open.connection.write(Envelope.notice(name, body)));
    }

    private RuntimeException notSent(Throwable cause) {
        return Failure.of(ErrorKind.CALL_NOT_SENT, address, reason(cause)).asException();
    }

    private static String reason(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    /** Tries the connection if it is in use: one that has gone silent shows no other sign. */
    void ping() {
        CompletableFuture<Open> now;
        synchronized (this) {
            now = current;
        }
        boolean used = System.nanoTime() - lastUsedNs < IDLE_NS;
        if (used && now != null && now.isDone() && !isOver(now)) {
            now.join().ping();
        }
    }

    private synchronized CompletableFuture<Open> connection() {
        lastUsedNs = System.nanoTime();
        if (current != null && !isOver(current)) {
            return current;
        }
        long nowNs = System.nanoTime();
        if (current != null && current.isCompletedExceptionally() && nowNs - lastAttemptNs < RECONNECT_PAUSE_NS) {
            return current;
        }
        lastAttemptNs = nowNs;
        current = connect();
        return current;
    }

    private static boolean isOver(CompletableFuture<Open> attempt) {
        return attempt.isCompletedExceptionally()
                || attempt.isDone() && !attempt.join().connection.isOpen();
    }

    private CompletableFuture<Open> connect() {
        CompletableFuture<Open> opened = new CompletableFuture<>();
        transport.connect(Addresses.parse(address), new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes")
            public void completed(Connection connection) {
                @SuppressWarnings("unchecked")
                Open open = new Open((Connection<SocketAddress>) connection);
                open.watch();
                if (!opened.complete(open)) {
                    connection.closeSilently();
                }
            }

            @Override
            public void failed(Throwable thrown) {
                opened.completeExceptionally(thrown);
            }
        });
        return opened.orTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public synchronized void close() {
        if (current != null) {
            current.thenAccept(Open::lost);
        }
    }

    /** An open connection with its calls under way. */
    final class Open {
        private final Connection<SocketAddress> connection;
        private final AtomicLong lastCallId = new AtomicLong();
        private final Map<Long, CompletableFuture<byte[]>> waiting = new ConcurrentHashMap<>();
        private volatile long lastHeardNs = System.nanoTime() - PROVED_NS;

        Open(Connection<SocketAddress> connection) {
            this.connection = connection;
        }

        void watch() {
            OPEN.set(connection, this);
            connection.addCloseListener((closeable, type) -> lost());
        }

        void ping() {
            ping(PING_TIMEOUT_MS);
        }

        private CompletableFuture<byte[]> ping(long timeoutMs) {
            CompletableFuture<byte[]> answer = new CompletableFuture<>();
            request(Envelope.PING, new byte[0], timeoutMs, answer);
            return answer.whenComplete((body, thrown) -> {
                if (thrown != null) {
                    connection.closeSilently();
                }
            });
        }

        CompletableFuture<Open> prove(long timeoutMs) {
            return System.nanoTime() - lastHeardNs < PROVED_NS
                    ? CompletableFuture.completedFuture(this)
                    : ping(Math.min(PROOF_TIMEOUT_MS, timeoutMs)).thenApply(pong -> this);
        }

        void request(String name, byte[] body, long timeoutMs, CompletableFuture<byte[]> answer) {
            long callId = lastCallId.incrementAndGet();
            waiting.put(callId, answer);
            timer.schedule(() -> timedOut(callId, timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
            if (!connection.isOpen()) {
                lost();
                return;
            }
            connection.write(
                    Envelope.request(callId, name, body),
                    new EmptyCompletionHandler<WriteResult<Envelope, SocketAddress>>() {
                        @Override
                        public void failed(Throwable thrown) {
                            writeFailed(callId, thrown);
                        }
                    });
        }

        private void writeFailed(long callId, Throwable thrown) {
            CompletableFuture<byte[]> answer = waiting.remove(callId);
            if (answer != null) {
                answer.completeExceptionally(Failure.of(ErrorKind.PEER_UNREACHABLE, address, reason(thrown))
                        .asException());
            }
        }

        void answered(Envelope envelope) {
            lastHeardNs = System.nanoTime();
            CompletableFuture<byte[]> answer = waiting.remove(envelope.callId());
            if (answer == null) {
                return;
            }
            if (envelope.kind() == Envelope.Kind.ANSWER) {
                answer.complete(envelope.body());
            } else {
                answer.completeExceptionally(
                        Codec.decode(envelope.body(), Failure.class).asException());
            }
        }

        private void timedOut(long callId, long timeoutMs) {
            CompletableFuture<byte[]> answer = waiting.remove(callId);
            if (answer != null) {
                answer.completeExceptionally(
                        Failure.of(ErrorKind.CALL_TIMEOUT, address, timeoutMs).asException());
            }
        }

        void lost() {
            waiting.keySet().forEach(callId -> writeFailed(callId, new IllegalStateException("connection lost")));
        }
    }
}
