package org.cornelcove.wire;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Calls other processes. One connection goes to each address; it is opened on the first call and again after a loss,
 * and carries any number of calls at once. Answers are matched by connection and call id, so that an answer after its
 * timeout goes nowhere.
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
     * Returns a client without connections.
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
        timer.scheduleWithFixedDelay(
                () -> client.peers.values().forEach(Peer::ping),
                Peer.PING_EVERY_MS,
                Peer.PING_EVERY_MS,
                TimeUnit.MILLISECONDS);
        return client;
    }

    /**
     * Makes a call.
     *
     * @param address the other process, {@code ip:port}
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to wait for the answer
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code CALL_NOT_SENT} when the request surely did not arrive, with {@code
     *     CALL_TIMEOUT} or {@code PEER_UNREACHABLE} when it may have, or with the failure that the other process gave
     */
    public <Q, R> CompletableFuture<R> call(String address, Call<Q, R> call, Q request, long timeoutMs) {
        return peer(address)
                .call(call.name(), Call.toBytes(request), timeoutMs)
                .thenApply(body -> Call.fromBytes(body, call.answerType()));
    }

    /**
     * Makes a call over a connection that has just shown that the other process lives. It costs a round trip more when
     * nothing came over the connection of late, and leaves the outcome unknown far more seldom: a call to a host that
     * has lost its power or hangs is then known not to be sent.
     *
     * @param address the other process, {@code ip:port}
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to wait for the answer
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
     * Sends a notice without waiting; it is lost when the other process can't be reached.
     *
     * @param address the other process, {@code ip:port}
     * @param call the call
     * @param message the message
     * @param <Q> the message's type
     */
    public <Q> void send(String address, Call<Q, ?> call, Q message) {
        peer(address).send(call.name(), Call.toBytes(message));
    }

    private Peer peer(String address) {
        return peers.computeIfAbsent(address, a -> new Peer(a, transport, timer));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        Transports.close(transport);
        peers.values().forEach(Peer::close);
    }

    /** Hands each answer to the peer whose connection it came on. */
    private static final class MatchFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Envelope envelope = context.getMessage();
            Peer.of(context.getConnection()).ifPresent(open -> open.answered(envelope));
            return context.getStopAction();
        }
    }
}
