package org.cornelcove.testkit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.TargetAnnouncement;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.HttpStatus;

/**
 * A target that runs at most as many requests at once as it has slots, each for the time of its query parameter
 * {@code runMs}, and answers with its own name followed by the body of the request. It refuses requests that arrive
 * after their {@code Cornelcove-Not-After}, with an older epoch, or while no slot is free. It announces itself every
 * second.
 */
public final class TargetServer implements AutoCloseable {
    private static final long ANNOUNCE_MS = 1000;
    private static final int CONNECTIONS = 60;
    private static final String RUN_HEADER = "Cornelcove-Run";

    private final TargetId target;
    private final String service;
    private final String availabilityZone;
    private final int slots;
    private final ApiClient api;
    private final History history;
    /** Idempotency keys of the running requests by request id. */
    private final Map<String, String> running = new ConcurrentHashMap<>();

    private final HttpServer server = new HttpServer();
    private final AtomicInteger busy = new AtomicInteger();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicLong highestEpoch = new AtomicLong();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private String address;

    TargetServer(TargetOptions options, History history) {
        this.target = TargetId.of(options.name());
        this.service = options.service();
        this.availabilityZone = options.availabilityZone();
        this.slots = options.slots();
        this.api = new ApiClient(options.api());
        this.history = history;
    }

    /**
     * Starts a target on a free loopback port.
     *
     * @param options the options of the target
     * @param history the history that records its events; closed with the target
     * @return the running target
     * @throws IOException if it can't listen on a port
     */
    public static TargetServer start(TargetOptions options, History history) throws IOException {
        TargetServer started = new TargetServer(options, history);
        started.listen();
        return started;
    }

    private void listen() throws IOException {
        NetworkListener listener = new NetworkListener("target", "127.0.0.1", 0);
        listener.getTransport().setReuseAddress(true);
        listener.getTransport().setSelectorRunnersCount(1);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new RunHandler(), "/");
        server.start();
        address = "127.0.0.1:" + listener.getPort();
        timer.scheduleWithFixedDelay(this::announce, 0, ANNOUNCE_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the number of requests that it ran to the end.
     *
     * @return the count since the start
     */
    public int ran() {
        return ran.get();
    }

    /** Announces that the target is leaving and waits until no request runs, at most 30 seconds. */
    public void leave() {
        leaving.set(true);
        announce();
        record("", "", "leaving");
        CountDownLatch idle = new CountDownLatch(1);
        timer.scheduleWithFixedDelay(() -> releaseWhenIdle(idle), ANNOUNCE_MS, 50, TimeUnit.MILLISECONDS);
        try {
            idle.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void releaseWhenIdle(CountDownLatch idle) {
        if (busy.get() == 0) {
            idle.countDown();
        }
    }

    private void announce() {
        api.post(
                "/v1/targets/announce",
                new TargetAnnouncement(
                        target, service, address, availabilityZone, slots, CONNECTIONS, busy.get(), leaving.get()));
    }

    /** Stops at once and aborts the running requests. */
    public void kill() {
        timer.shutdownNow();
        server.shutdownNow();
        running.forEach((id, key) -> record(id, key, "killed"));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.shutdownNow();
        history.close();
    }

    private void record(String id, String key, String what) {
        history.write(TargetEvent.now(target.value(), id, key, what));
    }

    /** Admits or refuses each request and runs the admitted ones. */
    private final class RunHandler extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws Exception {
            String id = String.valueOf(request.getHeader("Cornelcove-Request-Id"));
            String key = request.getHeader("Cornelcove-Key") == null ? "" : request.getHeader("Cornelcove-Key");
            byte[] body = request.getInputStream().readAllBytes();
            if (!admit(request)) {
                record(id, key, "refused");
                refuse(response);
                return;
            }
            record(id, key, "started");
            running.put(id, key);
            response.suspend();
            timer.schedule(() -> finish(response, id, key, body), runMs(request), TimeUnit.MILLISECONDS);
        }

        private boolean admit(Request request) {
            long notAfterMs = parseOrDefault(request.getHeader("Cornelcove-Not-After"), Long.MAX_VALUE);
            long epoch = parseOrDefault(request.getHeader("Cornelcove-Epoch"), Long.MAX_VALUE);
            if (System.currentTimeMillis() > notAfterMs || epoch < highestEpoch.get()) {
                return false;
            }
            if (epoch != Long.MAX_VALUE) {
                highestEpoch.accumulateAndGet(epoch, Math::max);
            }
            if (busy.incrementAndGet() > slots) {
                busy.decrementAndGet();
                return false;
            }
            return true;
        }

        private void finish(Response response, String id, String key, byte[] body) {
            busy.decrementAndGet();
            ran.incrementAndGet();
            record(id, key, "ended");
            running.remove(id);
            byte[] prefix = (target + " ").getBytes(StandardCharsets.UTF_8);
            try {
                response.setContentType("application/octet-stream");
                response.setContentLength(prefix.length + body.length);
                response.getOutputStream().write(prefix);
                response.getOutputStream().write(body);
                response.resume();
            } catch (IOException e) {
                response.resume();
            }
        }

        private void refuse(Response response) {
            response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
            response.setHeader(RUN_HEADER, "not-run");
        }

        private long runMs(Request request) {
            return parseOrDefault(request.getParameter("runMs"), 0);
        }

        private long parseOrDefault(String text, long defaultValue) {
            return text == null ? defaultValue : Long.parseLong(text);
        }
    }
}
