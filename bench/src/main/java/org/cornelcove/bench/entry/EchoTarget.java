package org.cornelcove.bench.entry;

import java.io.IOException;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** A target that answers every request at once with the same small body. */
final class EchoTarget implements AutoCloseable {
    private static final byte[] BODY = "{\"price\":120,\"currency\":\"INR\",\"minutes\":35}".getBytes();
    private static final int THREADS = 2;
    private final HttpServer server;

    private EchoTarget(HttpServer server) {
        this.server = server;
    }

    static EchoTarget start() throws IOException {
        return new EchoTarget(server(
                new HttpHandler() {
                    @Override
                    public RequestExecutorProvider getRequestExecutorProvider() {
                        return new RequestExecutorProvider.SameThreadProvider();
                    }

                    @Override
                    public void service(Request request, Response response) throws IOException {
                        response.setContentType("application/json");
                        response.setContentLength(BODY.length);
                        response.getOutputStream().write(BODY);
                    }
                },
                THREADS));
    }

    /** Starts a server on a free loopback port with a number of selector threads. */
    static HttpServer server(HttpHandler handler, int threads) throws IOException {
        NetworkListener listener = new NetworkListener("bench", "127.0.0.1", 0);
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getTransport().setSelectorRunnersCount(threads);
        listener.getTransport().setTcpNoDelay(true);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getFileCache().setEnabled(false);
        HttpServer server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(handler, "/");
        server.start();
        return server;
    }

    int port() {
        return server.getListener("bench").getPort();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }
}
