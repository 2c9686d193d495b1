package org.cornelcove.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.connectionpool.SingleEndpointPool;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.utils.DelayedExecutor;

/**
 * The HTTP/1.1 client for targets. Each target has a pool, limited to the number of connections that it accepts; a
 * connection carries one request at a time. {@link TargetCall} determines the run state after a failure.
 */
final class TargetClient implements AutoCloseable {
    private static final long IDLE_CONNECTION_S = 30;
    private static final Attribute<TargetCall> CALL =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("cornelcove.target-call");

    private static final Attribute<SingleEndpointPool<SocketAddress>> POOL =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("cornelcove.target-pool");

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;
    private final MemoryManager<?> memory;
    private final ExecutorService poolThread;
    private final DelayedExecutor poolTimers;
    private final long connectTimeoutMs;

    private TargetClient(TCPNIOTransport transport, long connectTimeoutMs) {
        this.transport = transport;
        this.connectTimeoutMs = connectTimeoutMs;
        memory = transport.getMemoryManager();
        connector =
                TCPNIOConnectorHandler.builder(transport).processor(filters()).build();
        poolThread = Executors.newSingleThreadExecutor(task -> daemon(task, "target-connections"));
        poolTimers = new DelayedExecutor(poolThread);
        poolTimers.start();
    }

    static TargetClient open(long connectTimeoutMs, int selectorThreads) throws IOException {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setName("targets")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(selectorThreads)
                .setTcpNoDelay(true)
                .setKeepAlive(true)
                .build();
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(-1);
        transport.start();
        return new TargetClient(transport, connectTimeoutMs);
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private FilterChain filters() {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new HttpClientFilter())
                .add(new AnswerFilter())
                .build();
    }

    /** Returns a new pool of connections to one target; the caller closes it. */
    SingleEndpointPool<SocketAddress> connectionsTo(InetSocketAddress address, int maxConnections) {
        return SingleEndpointPool.builder(SocketAddress.class)
                .connectorHandler(connector)
                .endpointAddress(address)
                .corePoolSize(0)
                .maxPoolSize(maxConnections)
                .connectTimeout(connectTimeoutMs, TimeUnit.MILLISECONDS)
                .maxReconnectAttempts(0)
                .keepAliveTimeout(IDLE_CONNECTION_S, TimeUnit.SECONDS)
                .delayExecutor(poolTimers)
                .build();
    }

    /** Starts a call over a connection of the pool. */
    void send(SingleEndpointPool<SocketAddress> pool, TargetCall call) {
        try {
            take(pool, call);
        } catch (IllegalStateException e) {
            call.failToConnect("its connections are closed");
        }
    }

    private void take(SingleEndpointPool<SocketAddress> pool, TargetCall call) {
        pool.take(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings({"rawtypes", "unchecked"})
            public void completed(Connection connection) {
                write(pool, connection, call);
            }

            @Override
            public void failed(Throwable cause) {
                call.failToConnect("can't connect: " + cause.getMessage());
            }

            @Override
            public void cancelled() {
                call.failToConnect("the connection attempt was cancelled");
            }
        });
    }

    private void write(SingleEndpointPool<SocketAddress> pool, Connection<SocketAddress> connection, TargetCall call) {
        if (!connection.isOpen()) {
            send(pool, call);
            return;
        }
        HttpContent message = messageOf(call);
        CALL.set(connection, call);
        POOL.set(connection, pool);
        if (!call.startWriting(connection)) {
            CALL.remove(connection);
            pool.release(connection);
            return;
        }
        connection.write(message, new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
            @Override
            public void failed(Throwable cause) {
                call.fail("writing failed: " + cause.getMessage());
            }
        });
    }

    private HttpContent messageOf(TargetCall call) {
        ServiceRequest request = call.request();
        HttpRequestPacket.Builder line = HttpRequestPacket.builder()
                .method(request.method())
                .uri(request.uri())
                .protocol(Protocol.HTTP_1_1);
        byte[] body = request.body();
        if (body.length > 0 || carriesBody(request.method())) {
            line.contentLength(body.length);
        }
        HttpRequestPacket head = line.build();
        // Set directly, because the builder would collect the headers separately and copy them.
        MimeHeaders headers = head.getHeaders();
        request.headers().forEach(one -> headers.addValue(one.name()).setString(one.value()));
        call.dispatchHeaders().forEach(one -> headers.addValue(one.name()).setString(one.value()));
        return head.httpContentBuilder()
                .content(Buffers.wrap(memory, body))
                .last(true)
                .build();
    }

    private static boolean carriesBody(String method) {
        return "POST".equals(method) || "PUT".equals(method) || "PATCH".equals(method);
    }

    /** Passes parts of answers to the call of the connection. */
    private static final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent part = ctx.getMessage();
            Connection<?> connection = ctx.getConnection();
            TargetCall call = CALL.get(connection);
            if (call == null) {
                connection.terminateSilently();
                return ctx.getStopAction();
            }
            if (call.accept(part)) {
                HttpResponsePacket head = (HttpResponsePacket) part.getHttpHeader();
                CALL.remove(connection);
                free(connection, head);
                call.deliver(head);
            }
            return ctx.getStopAction();
        }

        private static void free(Connection<?> connection, HttpResponsePacket head) {
            if (head.getProcessingState().isKeepAlive()) {
                POOL.get(connection).release(connection);
            } else {
                connection.terminateSilently();
            }
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            fail(ctx.getConnection(), "it closed the connection");
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            fail(ctx.getConnection(), "its answer is malformed: " + error.getMessage());
            ctx.getConnection().terminateSilently();
        }

        private static void fail(Connection<?> connection, String why) {
            TargetCall call = CALL.remove(connection);
            if (call != null) {
                call.fail(why);
            }
        }
    }

    @Override
    public void close() throws IOException {
        poolTimers.stop();
        poolThread.shutdownNow();
        transport.shutdownNow();
    }
}
