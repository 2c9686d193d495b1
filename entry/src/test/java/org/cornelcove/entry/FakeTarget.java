package org.cornelcove.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.TargetAnnouncement;

/**
 * A target with one thread per connection, which behaves as scripted and logs the requests it received. Like every
 * target, it starts no request after its not-after instant. A run ends before the last bytes of its answer are sent, so
 * a test that has read the complete answer can rely on the run being finished.
 */
final class FakeTarget implements AutoCloseable {
    /** How the target handles one request. */
    interface Behaviour {
        void answer(Received request, OutputStream out, FakeTarget target) throws IOException, InterruptedException;

        /** Answers with the id and body of the request. */
        Behaviour ECHO = (request, out, target) -> target.answerLast(request, out, whole(request));

        Behaviour ECHO_CHUNKED = (request, out, target) -> {
            byte[] body = request.echo();
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            int half = body.length / 2;
            write(out, Integer.toHexString(half) + "\r\n");
            out.write(body, 0, half);
            write(out, "\r\n" + Integer.toHexString(body.length - half) + "\r\n");
            out.write(body, half, body.length - half);
            target.answerLast(request, out, "\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        };
        Behaviour REFUSE = (request, out, target) ->
                write(out, "HTTP/1.1 503 Unavailable\r\nCornelcove-Run: not-run\r\nContent-Length: 0\r\n\r\n");
        Behaviour DIE_AFTER_ACCEPT = (request, out, target) -> {
            throw new IOException("dies");
        };
        Behaviour CUT_LENGTH = (request, out, target) -> {
            byte[] whole = whole(request);
            out.write(whole, 0, whole.length - 3);
            throw new IOException("dies");
        };
        Behaviour CUT_HEAD = (request, out, target) -> {
            write(out, "HTTP/1.1 200 OK\r\nContent-Le");
            throw new IOException("dies");
        };
        Behaviour CUT_CHUNKED = (request, out, target) -> {
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            throw new IOException("dies");
        };
        Behaviour CLOSE_DELIMITED = (request, out, target) -> {
            write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno end in sight");
            throw new IOException("closes");
        };
        Behaviour GARBAGE = (request, out, target) -> write(out, "\u0001\u0002 what is this\r\n\r\n\r\n");
        /** Waits until {@link FakeTarget#releaseHeld}, then echoes. */
        Behaviour HOLD = (request, out, target) -> {
            target.held.await();
            target.answerLast(request, out, whole(request));
        };

        private static byte[] whole(Received request) {
            byte[] body = request.echo();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Seen: yes\r\nContent-Length: "
                            + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            if (!request.method.equals("HEAD")) {
                all.writeBytes(body);
            }
            return all.toByteArray();
        }

        private static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** A request as received by the target, with the start and end of its run. */
    static final class Received {
        private static final long NOT_ENDED = Long.MAX_VALUE;

        final String method;
        final String uri;
        final Map<String, String> headers;
        final byte[] body;
        volatile long startNs;
        volatile long endNs = NOT_ENDED;
        volatile boolean refused;

        private Received(String method, String uri, Map<String, String> headers, byte[] body) {
            this.method = method;
            this.uri = uri;
            this.headers = headers;
            this.body = body;
        }

        String id() {
            return headers.getOrDefault("cornelcove-request-id", "");
        }

        String key() {
            return headers.getOrDefault("cornelcove-key", "");
        }

        private boolean isTooLate() {
            String notAfterMs = headers.get("cornelcove-not-after");
            return notAfterMs != null && System.currentTimeMillis() > Long.parseLong(notAfterMs);
        }

        private byte[] echo() {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes((id() + "|").getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            return all.toByteArray();
        }
    }

    final List<Received> log = new CopyOnWriteArrayList<>();
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger mostRunning = new AtomicInteger();
    final AtomicInteger connections = new AtomicInteger();
    private final CountDownLatch held = new CountDownLatch(1);
    private final String name;
    private final String zone;
    private final ServerSocket server;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile Function<Received, Behaviour> script;

    private FakeTarget(String name, String zone, Function<Received, Behaviour> script) throws IOException {
        this.name = name;
        this.zone = zone;
        this.script = script;
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        daemon(this::acceptAll);
    }

    static FakeTarget start(String name, Behaviour behaviour) throws IOException {
        return start(name, "zone-a", request -> behaviour);
    }

    static FakeTarget start(String name, String zone, Function<Received, Behaviour> script) throws IOException {
        return new FakeTarget(name, zone, script);
    }

    void behave(Behaviour behaviour) {
        script = request -> behaviour;
    }

    void releaseHeld() {
        held.countDown();
    }

    TargetAnnouncement announcement(String service, int slots, boolean leaving) {
        return new TargetAnnouncement(
                TargetId.of(name),
                service,
                "127.0.0.1:" + server.getLocalPort(),
                zone,
                slots,
                60,
                running.get(),
                leaving);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "fake-target");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                open.add(socket);
                connections.incrementAndGet();
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server socket was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                serveOne(read(in), socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            connections.decrementAndGet();
            open.remove(socket);
        }
    }

    private void serveOne(Received request, OutputStream out) throws IOException, InterruptedException {
        Behaviour behaviour = request.isTooLate() ? Behaviour.REFUSE : script.apply(request);
        request.refused = behaviour == Behaviour.REFUSE;
        request.startNs = System.nanoTime();
        log.add(request);
        mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
        try {
            behaviour.answer(request, out, this);
            out.flush();
        } finally {
            end(request);
        }
    }

    private void answerLast(Received request, OutputStream out, byte[] lastBytes) throws IOException {
        end(request);
        out.write(lastBytes);
    }

    /** Ends a run; has no effect if it has already ended. */
    private void end(Received request) {
        if (request.endNs == Received.NOT_ENDED) {
            request.endNs = System.nanoTime();
            running.decrementAndGet();
        }
    }

    private static Received read(InputStream in) throws IOException {
        String[] first = line(in).split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Received(first[0], first[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("end");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        held.countDown();
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
