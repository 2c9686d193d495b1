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
 * The connection to one other process, opened on demand. Calls made while it is being opened wait for it, and fail as
 * not sent when opening fails. After a failure the next attempt is delayed, so that not every call to a dead process
 * tries to connect again.
 */
final class Peer implements AutoCloseable {
    private static final long RECONNECT_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long CONNECT_TIMEOUT_MS = 1000;
    /** How often a connection in use is pinged. */
    static final long PING_EVERY_MS = 400;
    /** A connection on which a ping stays unanswered this long is closed; the next use opens another. */
    private static final long PING_TIMEOUT_MS = 800;
    /** A connection that received something this recently needs no check; far below the time to detect a lost host. */
    private static final long RECENTLY_RECEIVED_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Timeout of the check of a connection: a round trip plus a pause of a busy host. */
    private static final long CHECK_TIMEOUT_MS = 300;
    /** A connection unused for this long is not pinged. */
    private static final long IDLE_NS = TimeUnit.SECONDS.toNanos(3);
    /** Call id of a message that awaits no answer; ids of calls start at 1. */
    private static final long NO_CALL = 0;

    private static final System.Logger LOGGER = System.getLogger(Peer.class.getName());
    private static final Attribute<OpenConnection> OPEN_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("cornelcove.peer");

    private final String address;
    private final TCPNIOTransport transport;
    private final ScheduledExecutorService timer;
    /** The connection or the attempt to open it, null before the first; guarded by this. */
    private CompletableFuture<OpenConnection> current;

    private long lastAttemptNs;
    private volatile long lastUsedNs = System.nanoTime();

    Peer(String address, TCPNIOTransport transport, ScheduledExecutorService timer) {
        this.address = address;
        this.transport = transport;
        this.timer = timer;
    }

    static Optional<OpenConnection> of(Connection<?> connection) {
        return Optional.ofNullable(OPEN_CONNECTION.get(connection));
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

    /** Sends the call only after the connection was checked to be alive; until then it is certainly not sent. */
    CompletableFuture<byte[]> callProved(String name, byte[] body, long timeoutMs) {
        long startNs = System.nanoTime();
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        connectionWithin(timeoutMs)
                .thenCompose(open -> open.checkAlive(timeoutMs))
                .whenComplete((open, thrown) -> {
                    long leftMs = timeoutMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
                    if (thrown == null && leftMs > 0) {
                        open.request(name, body, leftMs, answer);
                    } else {
                        answer.completeExceptionally(notSent(
                                thrown == null
                                        ? new IllegalStateException("no time left")
                                        : FailureException.causeOf(thrown)));
                    }
                });
        return answer;
    }

    /** Bounds the wait, as connecting to a host without power can take longer than the caller's timeout. */
    private CompletableFuture<OpenConnection> connectionWithin(long timeoutMs) {
        return connection().copy().orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
    }

    void send(String name, byte[] body) {
        connection().thenAccept(open -> open.send(Envelope.notice(name, body)));
    }

    private RuntimeException notSent(Throwable cause) {
        return Failure.of(ErrorKind.CALL_NOT_SENT, address, reason(cause)).asException();
    }

    private static String reason(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    /**
     * Pings the connection if it is in use, the only way to detect one whose other end has silently failed. It never
     * throws: an exception would end the periodic task that pings all peers.
     */
    void ping() {
        try {
            pingIfUsed();
        } catch (RuntimeException e) {
            LOGGER.log(System.Logger.Level.WARNING, "the ping of " + address + " failed", e);
        }
    }

    private void pingIfUsed() {
        CompletableFuture<OpenConnection> now;
        synchronized (this) {
            now = current;
        }
        boolean used = System.nanoTime() - lastUsedNs < IDLE_NS;
        if (used && now != null && now.isDone() && !isFailedOrClosed(now)) {
            now.join().ping();
        }
    }

    private synchronized CompletableFuture<OpenConnection> connection() {
        lastUsedNs = System.nanoTime();
        if (current != null && !isFailedOrClosed(current)) {
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

    private static boolean isFailedOrClosed(CompletableFuture<OpenConnection> attempt) {
        return attempt.isCompletedExceptionally()
                || attempt.isDone() && !attempt.join().connection.isOpen();
    }

    private CompletableFuture<OpenConnection> connect() {
        CompletableFuture<OpenConnection> opened = new CompletableFuture<>();
        transport.connect(Addresses.parse(address), new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes")
            public void completed(Connection connection) {
                @SuppressWarnings("unchecked")
                OpenConnection open = new OpenConnection((Connection<SocketAddress>) connection);
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
            current.thenAccept(OpenConnection::failPendingCalls);
        }
    }

    /** An open connection and its pending calls. */
    final class OpenConnection {
        private final Connection<SocketAddress> connection;
        private final AtomicLong lastCallId = new AtomicLong();
        private final Map<Long, CompletableFuture<byte[]>> pendingCalls = new ConcurrentHashMap<>();
        private volatile long lastReceivedNs = System.nanoTime() - RECENTLY_RECEIVED_NS;

        OpenConnection(Connection<SocketAddress> connection) {
            this.connection = connection;
        }

        void watch() {
            OPEN_CONNECTION.set(connection, this);
            connection.addCloseListener((closeable, type) -> failPendingCalls());
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

        CompletableFuture<OpenConnection> checkAlive(long timeoutMs) {
            return System.nanoTime() - lastReceivedNs < RECENTLY_RECEIVED_NS
                    ? CompletableFuture.completedFuture(this)
                    : ping(Math.min(CHECK_TIMEOUT_MS, timeoutMs)).thenApply(pong -> this);
        }

        void request(String name, byte[] body, long timeoutMs, CompletableFuture<byte[]> answer) {
            long callId = lastCallId.incrementAndGet();
            pendingCalls.put(callId, answer);
            timer.schedule(() -> handleTimeout(callId, timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
            if (!connection.isOpen()) {
                failPendingCalls();
                return;
            }
            write(Envelope.request(callId, name, body), callId);
        }

        void send(Envelope notice) {
            write(notice, NO_CALL);
        }

        /** Closes the connection if the write fails: bytes of a later call must not follow half a frame. */
        private void write(Envelope envelope, long callId) {
            try {
                connection.write(envelope, new EmptyCompletionHandler<WriteResult<Envelope, SocketAddress>>() {
                    @Override
                    public void failed(Throwable thrown) {
                        failWrite(callId, thrown);
                    }
                });
            } catch (RuntimeException e) {
                failWrite(callId, e);
            }
        }

        private void failWrite(long callId, Throwable thrown) {
            failUnreachable(callId, thrown);
            connection.closeSilently();
        }

        private void failUnreachable(long callId, Throwable thrown) {
            CompletableFuture<byte[]> answer = pendingCalls.remove(callId);
            if (answer != null) {
                answer.completeExceptionally(Failure.of(ErrorKind.PEER_UNREACHABLE, address, reason(thrown))
                        .asException());
            }
        }

        void handleAnswer(Envelope envelope) {
            lastReceivedNs = System.nanoTime();
            CompletableFuture<byte[]> answer = pendingCalls.remove(envelope.callId());
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

        private void handleTimeout(long callId, long timeoutMs) {
            CompletableFuture<byte[]> answer = pendingCalls.remove(callId);
            if (answer != null) {
                answer.completeExceptionally(
                        Failure.of(ErrorKind.CALL_TIMEOUT, address, timeoutMs).asException());
            }
        }

        void failPendingCalls() {
            pendingCalls
                    .keySet()
                    .forEach(callId -> failUnreachable(callId, new IllegalStateException("connection lost")));
        }
    }
}
