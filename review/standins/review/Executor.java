package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An executor of the platform, as the pages describe it: fences, run numbers, leases, ends in pages of 500, heartbeats
 * that move on to the next control host. Its address stays when it crashes and starts again.
 *
 * <p>The text of a task is a list of NAME=VALUE: {@code ms} the work, {@code cpu} and {@code mem} the size.
 */
final class Executor {
    static final long HEARTBEAT_MS = 1100;
    static final long DRAIN_MS = 2000;
    static final long MAX_HOLD_MS = 6000;
    static final long STOP_MS = 200;
    static final long GANG_MS = 3000;
    private static final int PAGE = 500;
    private static final long ACK_MS = 1000;
    private static final long STEP_MS = 5;
    private static final int STOPPING_MS = 20;

    final String id;
    private final String ip;
    private final int cpu;
    private final int memoryMb;
    private final List<String> control;
    private final int port;
    /** The path of orders to it; absent if it is called directly. */
    final Link orders;
    /** The paths of its own calls, by address of the control host; empty if it calls directly. */
    final Map<String, Link> calls = new LinkedHashMap<>();
    private final List<Run> all = new ArrayList<>();
    private volatile Life life;

    Executor(String id, String ip, int cpu, int memoryMb, List<String> control, boolean linked) throws IOException {
        this.id = id;
        this.cpu = cpu;
        this.memoryMb = memoryMb;
        this.control = control;
        this.ip = ip;
        this.port = Site.freePort();
        this.orders = linked ? new Link(new InetSocketAddress(ip, port)) : null;
        if (linked) {
            for (String address : control) {
                int colon = address.lastIndexOf(':');
                calls.put(
                        address,
                        new Link(new InetSocketAddress(
                                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))));
            }
        }
    }

    List<Run> runs() {
        synchronized (all) {
            return List.copyOf(all);
        }
    }

    /** Returns the runs that are at work. */
    List<Run> atWork() {
        return runs().stream().filter(run -> !run.ended()).toList();
    }

    /** Starts an incarnation, which knows nothing of before. */
    void start() throws IOException {
        life = new Life();
        Record.line(id + " started, born " + life.born);
    }

    /** Crashes: all its runs are gone, and its connections are closed. */
    void crash() {
        Record.line(id + " crashes with " + atWork().size() + " runs");
        life.end("crashed");
    }

    /** Ends after it has left: all its runs are gone. */
    void end() {
        Record.line(id + " ends with " + atWork().size() + " runs");
        life.end("ended");
    }

    boolean heard() {
        return life != null && life.heard;
    }

    /** Reports that it drains, and waits for the acknowledgement. */
    void drain() {
        life.drains = true;
        life.remainingUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        life.heartbeat();
    }

    /** Sends the message that it leaves to one control host, and returns whether it was acknowledged. */
    boolean leave(String address, long timeoutMs) {
        Life leaving = life;
        ObjectNode body = leaving.report();
        Record.line(id + " sends Leave to " + address);
        int status = leaving.post(address, "/v1/Executors.Leave/" + id, body, timeoutMs);
        Record.line(id + " has the answer to Leave: " + (status == 0 ? "none" : status));
        return status / 100 == 2;
    }

    /** Returns the address of the control host that acknowledged its last heartbeat. */
    String heartbeatHost() {
        return life.lastHost;
    }

    /** Cuts or joins all its paths: those of orders to it and of its own calls, by direction. */
    void cut(boolean toIt, boolean fromIt) {
        Record.line(id + (toIt || fromIt ? " is cut off" : " is joined") + ", to it " + toIt + ", from it " + fromIt);
        orders.cut(toIt, fromIt);
        calls.values().forEach(link -> link.cut(fromIt, toIt));
    }

    private static int number(String spec, String name, int otherwise) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name + "=")) {
                return Integer.parseInt(word.substring(name.length() + 1));
            }
        }
        return otherwise;
    }

    private record End(long number, Run run) {}

    /** An incarnation. */
    private final class Life {
        private final long born = System.currentTimeMillis();
        private final long startNs = System.nanoTime();
        private final HttpServer server;
        private final ExecutorService threads = Executors.newCachedThreadPool(Life::daemon);
        private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Life::daemon);
        private final HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(ACK_MS))
                .build();
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private final List<End> ended = new ArrayList<>();
        private long ends;
        private long lapsedThrough;
        private long fence;
        private long leaseEndMs;
        private long sequence;
        private boolean over;
        private volatile boolean heard;
        private volatile boolean drains;
        private volatile long remainingUntilNs;
        private volatile String lastHost = "";
        private int nextHost;

        Life() throws IOException {
            server = HttpServer.create(new InetSocketAddress(ip, port), 0);
            server.setExecutor(threads);
            server.createContext("/v1/run-start", exchange -> reply(exchange, "start"));
            server.createContext("/v1/run-stop", exchange -> reply(exchange, "stop"));
            server.createContext("/v1/hold", exchange -> reply(exchange, "hold"));
            server.createContext("/v1/pace", exchange -> reply(exchange, "pace"));
            server.start();
            timer.scheduleAtFixedRate(this::step, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
            timer.scheduleWithFixedDelay(this::heartbeat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        }

        private static Thread daemon(Runnable task) {
            Thread thread = new Thread(task, "executor");
            thread.setDaemon(true);
            return thread;
        }

        private long clockMs() {
            return 1 + (System.nanoTime() - startNs) / 1_000_000;
        }

        void end(String how) {
            synchronized (this) {
                over = true;
                for (Run run : running.values()) {
                    run.how = how;
                    run.endNs = System.nanoTime();
                }
                running.clear();
                notifyAll();
            }
            server.stop(0);
            timer.shutdownNow();
            threads.shutdownNow();
        }

        // Orders

        private void reply(HttpExchange exchange, String order) throws IOException {
            JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
            String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                exchange.sendResponseHeaders(421, -1);
                exchange.close();
                return;
            }
            ObjectNode answer;
            synchronized (this) {
                if (over) {
                    exchange.close();
                    return;
                }
                long given = body.path("fence").asLong();
                if (given < fence) {
                    answer = refusal("fence");
                } else {
                    fence = given;
                    answer = switch (order) {
                        case "start" -> start(body);
                        case "stop" -> stop(body);
                        case "hold" -> hold(body);
                        default -> Json.object();
                    };
                }
                answer.put("clockMs", clockMs()).put("born", born);
                if (over) {
                    exchange.close();
                    return;
                }
            }
            if (!order.equals("hold") && !order.equals("pace")) {
                Record.line(id + " " + order + " " + body + " -> " + answer);
            }
            byte[] bytes = Json.bytes(answer);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.has("reason") ? 409 : 200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        private ObjectNode refusal(String reason) {
            return Json.object().put("reason", reason);
        }

        private void extend(JsonNode body) {
            if (body.has("deadlineMs")) {
                long end = Math.min(body.path("deadlineMs").asLong(), clockMs() + MAX_HOLD_MS);
                leaseEndMs = Math.max(leaseEndMs, end);
            }
        }

        private ObjectNode start(JsonNode body) {
            String task = body.path("task").asText();
            int number = body.path("runId").asInt();
            String spec = body.path("taskSpec").asText();
            if (body.path("deadlineMs").asLong() <= clockMs()) {
                return refusal("late");
            }
            extend(body);
            Run there = running.get(task);
            if (there != null && there.number == number) {
                return Json.object();
            }
            if (number <= highestEnded.getOrDefault(task, 0) || there != null && number < there.number) {
                return refusal("old");
            }
            Run run = new Run(
                    task, number, id, number(spec, "ms", 1000), number(spec, "cpu", 1000), number(spec, "mem", 1000));
            int usedCpu = running.values().stream().mapToInt(r -> r.cpu).sum();
            int usedMemory = running.values().stream().mapToInt(r -> r.memoryMb).sum();
            if (usedCpu + run.cpu > cpu || usedMemory + run.memoryMb > memoryMb) {
                return refusal("room");
            }
            running.put(task, run);
            synchronized (all) {
                all.add(run);
            }
            return Json.object();
        }

        private ObjectNode stop(JsonNode body) {
            String task = body.path("task").asText();
            int number = body.path("runId").asInt();
            highestEnded.merge(task, number, Math::max);
            Run run = running.get(task);
            if (run != null && run.number <= number) {
                timer.schedule(() -> finish(run, "stopped"), STOPPING_MS, TimeUnit.MILLISECONDS);
            }
            return Json.object();
        }

        private ObjectNode hold(JsonNode body) {
            long seen = body.path("lastSeen").asLong();
            extend(body);
            for (End end : ended) {
                if (end.number <= seen && end.number > lapsedThrough && end.run.how.equals("done")) {
                    end.run.notedDone = true;
                }
            }
            ended.removeIf(end -> end.number <= seen);
            long untilNs = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(Math.min(2000, body.path("waitMs").asLong()));
            try {
                while (!over && ended.isEmpty() && System.nanoTime() < untilNs) {
                    wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
                }
            } catch (InterruptedException e) {
                over = true;
            }
            ObjectNode answer = Json.object();
            ArrayNode rows = answer.putArray("running");
            for (Run run : running.values()) {
                rows.addArray()
                        .add(run.task)
                        .add(run.number)
                        .add("")
                        .add((int) Math.min(99, 100 * run.elapsedMs() / run.workMs))
                        .add(run.cpu);
            }
            ArrayNode finished = answer.putArray("finished");
            ended.stream().limit(PAGE).forEach(end -> finished.addArray()
                    .add(end.number)
                    .add(end.run.task)
                    .add(end.run.number)
                    .add(end.run.how)
                    .add(""));
            return answer;
        }

        // Runs

        private synchronized void step() {
            if (over) {
                return;
            }
            if (clockMs() > leaseEndMs) {
                new ArrayList<>(running.values()).forEach(run -> finish(run, "lapsed"));
                lapsedThrough = ends;
            }
            for (Run run : new ArrayList<>(running.values())) {
                if (run.elapsedMs() >= run.workMs) {
                    finish(run, "done");
                }
            }
        }

        private synchronized void finish(Run run, String how) {
            if (!over && running.remove(run.task, run)) {
                run.how = how;
                run.endNs = System.nanoTime();
                highestEnded.merge(run.task, run.number, Math::max);
                ended.add(new End(++ends, run));
                notifyAll();
            }
        }

        // Its own calls

        private synchronized ObjectNode report() {
            ObjectNode body = Json.object()
                    .put("service", Site.SERVICE)
                    .put("address", orders == null ? ip + ":" + port : orders.address())
                    .put("zone", "z1")
                    .put("version", "v1")
                    .put("slots", 8)
                    .put("state", drains ? "draining" : "ready")
                    .put("coldLeftMs", 0)
                    .put("clockMs", clockMs())
                    .put("born", born)
                    .put("sequence", ++sequence);
            if (drains) {
                body.put("remainingMs", Math.max(0, (remainingUntilNs - System.nanoTime()) / 1_000_000));
            }
            body.putObject("capacity").put("cpu", cpu).put("memMb", memoryMb).put("gpu", 0);
            body.putArray("labels").add("a").add("r1-1");
            return body;
        }

        /** Sends a heartbeat; a host that does not acknowledge it in time is followed by the next one. */
        void heartbeat() {
            for (int i = 0; i < control.size() && !over; i++) {
                String address = control.get(nextHost % control.size());
                if (post(address, "/v1/Executors.Heartbeat/" + id, report(), ACK_MS) / 100 == 2) {
                    heard = true;
                    return;
                }
                nextHost++;
            }
        }

        /** Posts, follows two redirects, and returns the status, 0 for none. */
        int post(String address, String path, ObjectNode body, long timeoutMs) {
            String at = address;
            try {
                for (int hops = 0; hops < 3; hops++) {
                    String via = calls.containsKey(at) ? calls.get(at).address() : at;
                    HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + via + path))
                            .timeout(Duration.ofMillis(timeoutMs))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)))
                            .build();
                    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                    if (response.statusCode() != 307) {
                        if (response.statusCode() == 200) {
                            lastHost = at;
                            nextHost = Math.max(0, control.indexOf(at));
                        }
                        return response.statusCode();
                    }
                    at = URI.create(response.headers().firstValue("Location").orElse("")).getAuthority();
                }
            } catch (IOException | RuntimeException e) {
                return 0;
            } catch (InterruptedException e) {
                return 0;
            }
            return 0;
        }
    }
}
