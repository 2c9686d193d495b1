package org.cornelcove.daemon.api;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Serves the routes on one address. Body sizes are bounded, and every failure is answered with a typed error. */
public final class ApiServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ApiServer.class.getName());
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final HttpServer server;

    private ApiServer(HttpServer server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on
     * @param routes the routes to serve, the first match wins
     * @return the running server
     * @throws FailureException of kind {@code PORT_UNAVAILABLE} if it cannot listen on the address
     */
    static ApiServer open(InetSocketAddress address, List<Route> routes) {
        NetworkListener listener = new NetworkListener("api", address.getHostString(), address.getPort());
        listener.getTransport().setReuseAddress(true);
        HttpServer server = new HttpServer();
        server.getServerConfiguration().addHttpHandler(new RouteHandler(routes), "/");
        server.getServerConfiguration().setHttpServerName("cornelcove");
        server.getServerConfiguration().setJmxEnabled(false);
        try {
            // Grizzly answers 404 until its handlers are started, so the listener is added afterwards.
            server.start();
            server.addListener(listener);
            if (!listener.isStarted()) {
                throw new IOException("the listener did not start");
            }
        } catch (IOException e) {
            server.shutdownNow();
            throw Failure.of(ErrorKind.PORT_UNAVAILABLE, address, e.getMessage())
                    .asException();
        }
        return new ApiServer(server);
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /** Dispatches each request to its route. */
    private static final class RouteHandler extends HttpHandler {
        private final List<Route> routes;

        RouteHandler(List<Route> routes) {
            this.routes = routes;
        }

        @Override
        public void service(Request request, Response response) throws IOException {
            Optional<byte[]> body = readBounded(request.getInputStream());
            if (body.isEmpty()) {
                write(response, ApiAnswer.failure(Failure.of(ErrorKind.BODY_TOO_LARGE, MAX_BODY_BYTES)));
                return;
            }
            response.suspend();
            answer(request.getMethod().getMethodString(), request.getRequestURI(), body.get())
                    .whenComplete((answer, thrown) -> {
                        write(response, thrown == null ? answer : ApiAnswer.failure(failureOf(thrown)));
                        response.resume();
                    });
        }

        private CompletableFuture<ApiAnswer> answer(String method, String path, byte[] body) {
            List<String> segments = Route.split(path);
            for (Route route : routes) {
                Optional<List<String>> arguments =
                        route.method().equals(method) ? route.match(segments) : Optional.empty();
                if (arguments.isPresent()) {
                    return invokeHandler(route, new ApiRequest(arguments.get(), body));
                }
            }
            return CompletableFuture.completedFuture(
                    ApiAnswer.failure(Failure.of(ErrorKind.METHOD_UNKNOWN, method + " " + path)));
        }

        private static CompletableFuture<ApiAnswer> invokeHandler(Route route, ApiRequest request) {
            try {
                return route.handler().apply(request);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private static Failure failureOf(Throwable thrown) {
            return FailureException.carriedBy(thrown).orElseGet(() -> logUnexpected(FailureException.causeOf(thrown)));
        }

        private static Failure logUnexpected(Throwable cause) {
            LOG.log(System.Logger.Level.WARNING, "unexpected failure of a request", cause);
            return Failure.of(ErrorKind.INTERNAL, cause);
        }

        private static void write(Response response, ApiAnswer answer) {
            try {
                response.setStatus(answer.status());
                response.setContentType(answer.contentType());
                response.setContentLength(answer.body().length);
                response.getOutputStream().write(answer.body());
            } catch (IOException e) {
                LOG.log(System.Logger.Level.DEBUG, "the client closed the connection", e);
            }
        }

        private static Optional<byte[]> readBounded(InputStream input) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = new byte[8192];
            for (int read = input.read(chunk); read >= 0; read = input.read(chunk)) {
                body.write(chunk, 0, read);
                if (body.size() > MAX_BODY_BYTES) {
                    return Optional.empty();
                }
            }
            return Optional.of(body.toByteArray());
        }
    }
}
