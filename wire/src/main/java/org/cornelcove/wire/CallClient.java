package org.cornelcove.wire;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Calls other processes. There is one connection per address, opened on the first call and reopened after it closes,
 * which carries any number of concurrent calls. Answers are matched by connection and call id, so an answer that
 * arrives after its call timed out is dropped.
 */
public final class CallClient implements AutoCloseable {
    private final TCPNIOTransport transport;
    private final ScheduledExecutorService timer;
    private final Map<String, Peer> peers = new ConcurrentHashMap<>();

    private CallClient(TCPNIOTransport transport, ScheduledExecutorService timer) {
        this.transport = transport;
        this.timer = timer;
    }

    /**
     * Starts a client that has no connections yet.
     *
     * @return the running client
     */
    public static CallClient create() {
        TCPNIOTransport transport = Transports.create("rpc-client");
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter())
                .add(new MatchFilter())
                .build());
        try {
            transport.start();
        } catch (IOException e) {
            throw new IllegalStateException("can't start the transport", e);
        }
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "rpc-timeouts");
            thread.setDaemon(true);
            return thread;
        });
        CallClient client = new CallClient(transport, timer);
        PeriodicTask.schedule(
                timer, "ping", () -> client.peers.values().forEach(Peer::ping), Peer.PING_EVERY_MS, Peer.PING_EVERY_MS);
        return client;
    }

    /**
     * Makes a call.
     *
     * @param address the other process, {@code ip:port}
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to wait for the answer, in milliseconds
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code CALL_NOT_SENT} when the request was certainly not sent, with {@code
     *     CALL_TIMEOUT} or {@code PEER_UNREACHABLE} when it may have arrived, or with the failure that the other process
     *     returned
     */
    public <Q, R> CompletableFuture<R> call(String address, Call<Q, R> call, Q request, long timeoutMs) {
        return peer(address)
                .call(call.name(), Call.toBytes(request), timeoutMs)
                .thenApply(body -> Call.fromBytes(body, call.answerType()));
    }

    /**
     * Makes a call after verifying that the other process responds. This costs one more round trip when nothing was
     * received over the connection recently, but an unknown outcome becomes far rarer: a call to a host that hangs or
     * has lost power fails as not sent.
     *
     * @param address the other process, {@code ip:port}
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to wait for the verification and the answer together, in milliseconds
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return as for {@link #call}
     */
    public <Q, R> CompletableFuture<R> callProved(String address, Call<Q, R> call, Q request, long timeoutMs) {
        return peer(address)
                .callProved(call.name(), Call.toBytes(request), timeoutMs)
                .thenApply(body -> Call.fromBytes(body, call.answerType()));
    }

    /**
     * Sends a one-way notice without waiting; it is dropped when the other process can't be reached.
     *
     * @param address the other process, {@code ip:port}
     * @param call the call
     * @param message the message
     * @param <Q> the message's type
     */
    public <Q> void send(String address, Call<Q, ?> call, Q message) {
        peer(address).send(call.name(), Call.toBytes(message));
    }

    Peer peer(String address) {
        return peers.computeIfAbsent(address, a -> new Peer(a, transport, timer));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        Transports.close(transport);
        peers.values().forEach(Peer::close);
    }

    /** Passes each answer to the peer whose connection received it. */
    private static final class MatchFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Envelope envelope = context.getMessage();
            Peer.of(context.getConnection()).ifPresent(connection -> connection.handleAnswer(envelope));
            return context.getStopAction();
        }
    }
}
