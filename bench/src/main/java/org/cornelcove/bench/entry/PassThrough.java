package org.cornelcove.bench.entry;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.connectionpool.SingleEndpointPool;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * A relay on Grizzly's own server, client filter and pool that decides nothing and keeps no state: what the request path
 * of the entry is measured against. Bodiless requests and whole answers in one read are all that it can do.
 */
final class PassThrough implements AutoCloseable {
    private static final Attribute<Response> WAITING =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("bench.pass-through");

    private static final Attribute<SingleEndpointPool<SocketAddress>> POOL =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("bench.pool");
    private static final int CONNECTIONS = 60;

    /** As many as the entry uses on each side. */
    private static final int THREADS = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);

    private final HttpServer server;
    private final TCPNIOTransport client;
    private final List<SingleEndpointPool<SocketAddress>> pools = new ArrayList<>();
    private final AtomicInteger next = new AtomicInteger();

    private PassThrough(int[] ports) throws IOException {
        client = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(THREADS)
                .setTcpNoDelay(true)
                .build();
        client.start();
        TCPNIOConnectorHandler connector = TCPNIOConnectorHandler.builder(client)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new HttpClientFilter())
                        .add(new Back())
                        .build())
                .build();
        for (int port : ports) {
            pools.add(SingleEndpointPool.builder(SocketAddress.class)
                    .connectorHandler(connector)
                    .endpointAddress(RelayBenchmark.loopback(port))
                    .maxPoolSize(CONNECTIONS)
                    .build());
        }
        server = EchoTarget.server(new Forth(), THREADS);
    }

    /** Starts a relay that takes the targets in turn. */
    static PassThrough start(int[] targetPorts) throws IOException {
        return new PassThrough(targetPorts);
    }

    int port() {
        return server.getListener("bench").getPort();
    }

    private final class Forth extends HttpHandler {
        @Override
        public RequestExecutorProvider getRequestExecutorProvider() {
            return new RequestExecutorProvider.SameThreadProvider();
        }

        @Override
        public void service(Request request, Response response) {
            request.getContext().getInternalContext().setManualIOEventControl();
            response.suspend();
            HttpRequestPacket.Builder head = HttpRequestPacket.builder()
                    .method(request.getMethod())
                    .uri(request.getRequestURI())
                    .protocol(Protocol.HTTP_1_1);
            MimeHeaders headers = request.getRequest().getHeaders();
            for (int i = 0; i < headers.size(); i++) {
                head.header(headers.getName(i).toString(), headers.getValue(i).toString());
            }
            HttpRequestPacket packet = head.build();
            SingleEndpointPool<SocketAddress> pool = pools.get(Math.floorMod(next.getAndIncrement(), pools.size()));
            pool.take(new EmptyCompletionHandler<>() {
                @Override
                @SuppressWarnings({"rawtypes", "unchecked"})
                public void completed(Connection connection) {
                    WAITING.set(connection, response);
                    POOL.set(connection, pool);
                    connection.write(packet.httpContentBuilder().last(true).build());
                }

                @Override
                public void failed(Throwable cause) {
                    response.setStatus(502);
                    response.resume();
                }
            });
        }
    }

    private final class Back extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            HttpContent part = ctx.getMessage();
            if (!part.isLast()) {
                return ctx.getStopAction(part);
            }
            Response response = WAITING.remove(ctx.getConnection());
            POOL.get(ctx.getConnection()).release(ctx.getConnection());
            HttpResponsePacket head = (HttpResponsePacket) part.getHttpHeader();
            response.setStatus(head.getStatus());
            MimeHeaders headers = head.getHeaders();
            for (int i = 0; i < headers.size(); i++) {
                response.addHeader(
                        headers.getName(i).toString(), headers.getValue(i).toString());
            }
            byte[] body = new byte[part.getContent().remaining()];
            part.getContent().get(body);
            response.setContentLength(body.length);
            response.getNIOOutputStream().write(body);
            response.resume();
            return ctx.getStopAction();
        }
    }

    @Override
    public void close() throws IOException {
        server.shutdownNow();
        pools.forEach(SingleEndpointPool::close);
        client.shutdownNow();
    }
}
