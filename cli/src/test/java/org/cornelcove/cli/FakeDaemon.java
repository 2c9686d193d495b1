package org.cornelcove.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.cornelcove.cli.output.Json;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ErrorView;

/** An api listener that sends scripted answers: each once, in order, and the last one repeatedly. */
final class FakeDaemon implements AutoCloseable {
    /** A scripted answer. */
    interface Answer {
        void send(HttpExchange exchange) throws IOException;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch closing = new CountDownLatch(1);
    private final Map<String, Deque<Answer>> scripts = new HashMap<>();
    private final List<String> received = Collections.synchronizedList(new ArrayList<>());

    private FakeDaemon(HttpServer server) {
        this.server = server;
    }

    static FakeDaemon open() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        FakeDaemon daemon = new FakeDaemon(server);
        server.createContext("/", daemon::handle);
        server.setExecutor(daemon.threads);
        server.start();
        return daemon;
    }

    /** Adds an answer to the script of a call such as {@code GET /v1/status}. */
    synchronized FakeDaemon on(String call, Answer answer) {
        scripts.computeIfAbsent(call, key -> new ArrayDeque<>()).add(answer);
        return this;
    }

    static Answer body(int status, String type, String text) {
        return exchange -> {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", type);
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        };
    }

    static Answer json(Object value) {
        return body(200, "application/json", Json.write(value));
    }

    static Answer done() {
        return exchange -> {
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        };
    }

    static Answer error(int status, ErrorKind kind, Object... arguments) {
        String message = Failure.of(kind, arguments).message();
        return body(
                status,
                "application/json",
                Json.write(new ErrorView(
                        kind.number(), kind.name(), kind.severity().name(), message)));
    }

    /** Closes the connection without an answer. */
    static Answer lost() {
        return HttpExchange::close;
    }

    /** Sends no answer while the daemon is open. */
    Answer silent() {
        return exchange -> {
            try {
                closing.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.close();
        };
    }

    String endpoint() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns the calls received so far, each with its body. */
    List<String> received() {
        return List.copyOf(received);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String call =
                exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        received.add(body.isEmpty() ? call : call + " " + body);
        next(call).send(exchange);
    }

    private synchronized Answer next(String call) {
        Deque<Answer> script = scripts.getOrDefault(call, new ArrayDeque<>());
        if (script.isEmpty()) {
            return error(404, ErrorKind.METHOD_UNKNOWN, call);
        }
        return script.size() > 1 ? script.poll() : script.peek();
    }

    @Override
    public void close() {
        closing.countDown();
        server.stop(0);
        threads.shutdownNow();
    }
}
