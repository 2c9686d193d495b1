import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An executor that follows PROTOCOL.md: fences, run numbers, deadlines on its own clock, leases, ends that are listed
 * until they are noted, and heartbeats. It can crash, and starts again as a new life at its address.
 */
final class Executor implements AutoCloseable {
    /** How long a task takes; 0 for one that lasts. */
    interface Work {
        long taskMs(String task);
    }

    /** What ran: kept over all lives, for the judgement of a case. */
    record Ran(String executor, String task, long run, double fromS, double[] toS, String[] how) {}

    private static final class Running {
        String task;
        long run;
        long fromNs;
        long taskMs;
        Ran ran;
    }

    private static final long MAX_HOLD_MS = 6000;
    private static final long HEARTBEAT_MS = 1100;
    private static final long STARTUP_MS = 270;

    private final Site site;
    private final String ip;
    private final int port;
    private final Work work;
    private final List<Ran> history;
    private HttpServer server;
    private ExecutorService threads;
    private Thread beats;
    private volatile String id = "";
    private volatile boolean up;
    private int lives;
    private long bornMs;
    private long bornNs;
    private long fence;
    private long leaseEndMs;
    private long sequence;
    private long ends;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<List<Object>> finished = new ArrayList<>();

    Executor(Site site, int number, int port, Work work, List<Ran> history) throws IOException {
        this.site = site;
        this.ip = "127.7.2." + (10 + number);
        this.port = port;
        this.work = work;
        this.history = history;
        begin();
    }

    String id() {
        return id;
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    synchronized int count() {
        return running.size();
    }

    /** One of the tasks fails by its own fault; returns whether one ran. */
    synchronized boolean failOne() {
        for (Running run : running.values()) {
            end(run, "failed");
            return true;
        }
        return false;
    }

    /** A new life: it knows nothing of before, and has a new id. */
    private synchronized void begin() throws IOException {
        lives++;
        id = "i-" + ip.substring(ip.lastIndexOf('.') + 1) + "-" + lives;
        bornMs = System.currentTimeMillis();
        bornNs = System.nanoTime();
        fence = 0;
        leaseEndMs = 0;
        sequence = 0;
        ends = 0;
        running.clear();
        highestEnded.clear();
        finished.clear();
        for (int attempt = 0; ; attempt++) {
            try {
                server = HttpServer.create(new InetSocketAddress(ip, port), 0);
                break;
            } catch (IOException e) {
                if (attempt == 50) {
                    throw e;
                }
                pause(20);
            }
        }
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        HttpServer current = server;
        for (String path : List.of("/v1/run-start", "/v1/run-stop", "/v1/hold", "/v1/pace")) {
            server.createContext(path, exchange -> handle(current, exchange, path));
        }
        up = true;
        server.start();
        beats = new Thread(() -> beat(current));
        beats.setDaemon(true);
        beats.start();
        Thread clock = new Thread(() -> tick(current));
        clock.setDaemon(true);
        clock.start();
        site.record.line("executor " + id + " begins at " + ip + ':' + port);
    }

    /** It crashes: all that runs there is gone, and its connections end. */
    void crash() {
        HttpServer before;
        synchronized (this) {
            up = false;
            before = server;
            site.record.line("executor " + id + " crashes with " + running.keySet());
            for (Running run : running.values()) {
                run.ran.toS()[0] = site.record.seconds();
                run.ran.how()[0] = "crashed";
            }
            running.clear();
            notifyAll();
        }
        before.stop(0);
        threads.shutdownNow();
    }

    void restart() throws IOException {
        begin();
    }

    private long clockMs() {
        return (System.nanoTime() - bornNs) / 1_000_000;
    }

    /** Lets tasks end, and the lease expire, also while nobody calls. */
    private void tick(HttpServer life) {
        while (up && server == life) {
            synchronized (this) {
                if (up && server == life) {
                    advance();
                }
            }
            pause(20);
        }
    }

    private void beat(HttpServer life) {
        String target = "";
        int next = (int) (Math.abs((long) ip.hashCode()) % site.controls.size());
        while (up && server == life) {
            String body;
            String path;
            synchronized (this) {
                sequence++;
                path = "/v1/Executors.Heartbeat/" + id;
                body = Json.write(heartbeat());
            }
            boolean acknowledged = false;
            for (int tries = 0; tries < 2 * site.controls.size() && !acknowledged && up && server == life; tries++) {
                String to = target.isEmpty() ? site.controls.get(next++ % site.controls.size()).address() : target;
                Http.Reply reply = Site.control(to, "POST", path, body, 1000);
                acknowledged = reply.status() / 100 == 2;
                target = acknowledged && reply.json().get("heartbeatUrl") instanceof String url ? url : "";
            }
            pause(HEARTBEAT_MS);
        }
    }

    /** What it says of itself. */
    synchronized Map<String, Object> heartbeat() {
        return Json.of(
                "service", Site.SERVICE,
                "address", ip + ':' + port,
                "zone", "z1",
                "version", "v1",
                "slots", 8,
                "state", "ready",
                "coldLeftMs", 0,
                "capacity", Json.of("cpu", 32000, "memMb", 128000, "gpu", 0),
                "labels", List.of("a", "r1-1"),
                "clockMs", clockMs(),
                "sequence", sequence,
                "born", bornMs);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpServer life, HttpExchange exchange, String path) throws IOException {
        try (exchange) {
            String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, Object> body = Json.object(text);
            String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            Map<String, Object> answer = new LinkedHashMap<>();
            int status;
            synchronized (this) {
                if (!up || server != life) {
                    return;
                }
                if (expected != null && !expected.equals(id)) {
                    status = 421;
                } else {
                    status = carryOut(path, body, answer);
                }
                answer.put("clockMs", clockMs());
                answer.put("born", bornMs);
                if (!up || server != life) {
                    return;
                }
            }
            if (!path.equals("/v1/hold")) {
                site.record.line("order to " + id + ": " + path + ' ' + text + " -> " + status + ' ' + Json.write(answer));
            }
            byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private int carryOut(String path, Map<String, Object> body, Map<String, Object> answer) {
        advance();
        long given = body.get("fence") instanceof Long value ? value : 0;
        if (given < fence) {
            answer.put("reason", "fence");
            return 409;
        }
        fence = given;
        if (body.get("deadlineMs") instanceof Long deadline) {
            leaseEndMs = Math.max(leaseEndMs, Math.min(deadline, clockMs() + MAX_HOLD_MS));
        }
        return switch (path) {
            case "/v1/run-start" -> start(body, answer);
            case "/v1/run-stop" -> stop(body);
            case "/v1/hold" -> hold(body, answer);
            default -> 200;
        };
    }

    private int start(Map<String, Object> body, Map<String, Object> answer) {
        String task = (String) body.get("task");
        long run = (Long) body.get("runId");
        Running there = running.get(task);
        if (there != null && there.run == run) {
            return 200;
        }
        if (there != null || run <= highestEnded.getOrDefault(task, 0L)) {
            answer.put("reason", "old");
            return 409;
        }
        if ((Long) body.get("deadlineMs") <= clockMs()) {
            answer.put("reason", "late");
            return 409;
        }
        Running begun = new Running();
        begun.task = task;
        begun.run = run;
        begun.fromNs = System.nanoTime();
        begun.taskMs = work.taskMs(task);
        begun.ran = new Ran(id, task, run, site.record.seconds(), new double[] {-1}, new String[] {"runs"});
        running.put(task, begun);
        synchronized (history) {
            history.add(begun.ran);
        }
        return 200;
    }

    private int stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long run = (Long) body.get("runId");
        highestEnded.merge(task, run, Math::max);
        Running there = running.get(task);
        if (there != null && there.run == run) {
            end(there, "stopped");
        }
        return 200;
    }

    private void end(Running run, String how) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.run, Math::max);
        ends++;
        finished.add(List.of(ends, run.task, run.run, how, ""));
        run.ran.toS()[0] = site.record.seconds();
        run.ran.how()[0] = how;
        site.record.line("on " + id + ": " + run.task + " run " + run.run + " ends " + how);
        notifyAll();
    }

    /** Ends what is done, and all when the lease has expired. */
    private void advance() {
        for (Running run : new ArrayList<>(running.values())) {
            long workedMs = (System.nanoTime() - run.fromNs) / 1_000_000;
            if (clockMs() >= leaseEndMs) {
                end(run, "lapsed");
            } else if (run.taskMs > 0 && workedMs >= run.taskMs) {
                end(run, "done");
            }
        }
    }

    private int hold(Map<String, Object> body, Map<String, Object> answer) {
        long seen = body.get("lastSeen") instanceof Long value ? value : 0;
        for (Iterator<List<Object>> all = finished.iterator(); all.hasNext(); ) {
            if ((Long) all.next().get(0) <= seen) {
                all.remove();
            }
        }
        long waitMs = body.get("waitMs") instanceof Long value ? Math.min(2000, value) : 0;
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        HttpServer life = server;
        try {
            while (finished.isEmpty() && System.nanoTime() < untilNs && up && server == life) {
                wait(20);
                advance();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<Object> rows = new ArrayList<>();
        for (Running run : running.values()) {
            long workedMs = (System.nanoTime() - run.fromNs) / 1_000_000;
            long wholeMs = run.taskMs > 0 ? run.taskMs : STARTUP_MS;
            rows.add(List.of(run.task, run.run, "", Math.min(100, 100 * workedMs / wholeMs), 0));
        }
        answer.put("running", rows);
        answer.put("finished", new ArrayList<>(finished.subList(0, Math.min(500, finished.size()))));
        return 200;
    }

    @Override
    public void close() {
        up = false;
        server.stop(0);
        threads.shutdownNow();
    }
}
