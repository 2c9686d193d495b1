package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Three control hosts and two entry hosts, each a process of its own, started with the commands of the deploy file. */
final class Site {
    static final String SERVICE = "booking";
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";

    private static final int STATUS_OK = 200;
    private static final int REDIRECT = 307;

    /** An answer; status 0 if there was none. */
    record Answer(int status, String body) {}

    final List<String> controlIps = new ArrayList<>();
    final List<String> entryIps = new ArrayList<>();
    /** The addresses of the site begin with it. */
    final String net;
    private final Path folder;
    private final int controlPort = freePort();
    private final int innerPort = freePort();
    private final int frontPort = freePort();
    private final int readyPort = freePort();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, ObjectNode> settings = new LinkedHashMap<>();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final AtomicInteger nextEntry = new AtomicInteger();

    static {
        // The clients of the platform name the host of a route, whatever address they connect to.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    Site() throws IOException {
        folder = Files.createTempDirectory("cornelcove-review");
        net = "127." + (64 + (int) (ProcessHandle.current().pid() % 128)) + ".9.";
        for (int i = 1; i <= 3; i++) {
            controlIps.add(net + i);
        }
        entryIps.add(net + "11");
        entryIps.add(net + "12");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    void open() throws IOException {
        for (String ip : controlIps) {
            Path disk = Files.createDirectories(folder.resolve("disk-" + ip));
            ObjectNode node = common(ip, "control", "core");
            node.putObject("listenAddrs").put("control", ip + ":" + controlPort);
            node.put("dataDir", disk.toString()).put("inTolerance", true);
            settings.put(ip, node);
            startProcess(ip, true);
        }
        for (String ip : entryIps) {
            ObjectNode node = common(ip, "entry", "front");
            node.putObject("listenAddrs").put("front", ip + ":" + frontPort).put("ready", ip + ":" + readyPort);
            node.putNull("dataDir").put("inTolerance", false);
            settings.put(ip, node);
            startProcess(ip, true);
        }
    }

    private ObjectNode common(String ip, String role, String machineClass) {
        ObjectNode node = Json.object()
                .put("nodeName", role + "-" + ip)
                .put("role", role)
                .put("machineClass", machineClass)
                .put("ip", ip)
                .put("zone", "z1")
                .put("region", "r1")
                .put("discovery", "registry")
                .put("entry", "vip")
                .put("heartbeatMs", Executor.HEARTBEAT_MS)
                .put("config_mode", "highest")
                .put("controlMode", "rpc");
        node.putArray("serves").add(role.equals("entry") ? "front" : "control");
        node.putArray("portRange").add(innerPort).add(innerPort);
        ArrayNode seeds = node.putArray("seeds");
        controlAddresses().forEach(seeds::add);
        node.putObject("faultTolerance").put("machines", 1).put("zones", 0).put("regions", 0);
        node.putObject("bounds")
                .put("contactMs", 3000)
                .put("ackMs", 4000)
                .put("drainMs", Executor.DRAIN_MS)
                .put("graceS", 6)
                .put("configApplyMs", 2000)
                .put("maxHoldMs", Executor.MAX_HOLD_MS)
                .put("stopTimeoutMs", Executor.STOP_MS)
                .put("gangTimeoutMs", Executor.GANG_MS)
                .put("cancel_ms", 3000)
                .put("visible_ms", 3000)
                .put("status_s", 120)
                .put("checkpointS", 1)
                .put("leaseMs", 3000);
        return node;
    }

    /** Starts the process of a host with the command of its role. */
    void startProcess(String ip, boolean firstStart) throws IOException {
        ObjectNode node = settings.get(ip).put("bootstrap", firstStart);
        Path file = folder.resolve(ip + ".json");
        Files.write(file, Json.bytes(node));
        ProcessBuilder builder = new ProcessBuilder(command(node.path("role").asText()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CORNELCOVE_NODE_FILE", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(ip).toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.put(ip, process);
        }
        Record.line("process of " + ip + " started, " + node.path("role").asText());
    }

    private static List<String> command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s*\\nrun = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no command of the role " + role);
        }
        return Arrays.asList(run.group(1).split(" +"));
    }

    /** Kills the process of a host. */
    void kill(String ip) throws InterruptedException {
        Process process;
        synchronized (processes) {
            process = processes.remove(ip);
        }
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        Record.line("process of " + ip + " killed");
    }

    List<String> controlAddresses() {
        return controlIps.stream().map(ip -> ip + ":" + controlPort).toList();
    }

    /** Returns the control host that leads, by the newest line of the logs about it. */
    String leader() throws IOException {
        String leader = "";
        long newest = 0;
        for (String ip : controlIps) {
            boolean up;
            synchronized (processes) {
                up = processes.containsKey(ip);
            }
            for (String line : up ? Files.readAllLines(logFile(ip)) : List.<String>of()) {
                if (line.contains("\"event\":\"lead.gained\"")) {
                    long at = Json.read(line.getBytes()).path("at").asLong();
                    if (at >= newest) {
                        newest = at;
                        leader = ip;
                    }
                }
            }
        }
        return leader;
    }

    private Path logFile(String ip) {
        return folder.resolve(ip + ".log");
    }

    /** Writes the lines of the control hosts' logs that contain one of the texts to the record. */
    void recordLog(String... texts) throws IOException {
        Record.line("-- lines of the control hosts:");
        for (String ip : controlIps) {
            for (String line : Files.readAllLines(logFile(ip))) {
                if (Arrays.stream(texts).anyMatch(line::contains)) {
                    Record.line(ip + " " + line);
                }
            }
        }
    }

    // The operator

    /** Sends a configuration until it is acknowledged. */
    void configure(ObjectNode config, long withinMs) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        List<String> addresses = controlAddresses();
        for (int i = 0; System.nanoTime() < untilNs; i++) {
            String address = addresses.get(i % addresses.size());
            Answer answer = send("POST", "http://" + address + "/v1/Config.Replace", null, Json.bytes(config), 1000);
            for (int hops = 0; hops < 2 && answer.status() == REDIRECT; hops++) {
                answer = send("POST", answer.body(), null, Json.bytes(config), 1000);
            }
            if (answer.status() == STATUS_OK) {
                Record.line("operator: configuration " + config.path("version") + " acknowledged");
                return;
            }
            Thread.sleep(100);
        }
        throw new CaseFailed("the configuration was not acknowledged");
    }

    /** A configuration like that of the pages, with one route. */
    static ObjectNode config(long version, int attempts) {
        ObjectNode config = Json.object().put("version", version);
        config.putArray("routes").add(route("r-3hwrr6x", PREFIX, attempts));
        config.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("healthPath", "/health")
                .put("maxConns", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("admissionCheck", true)
                .put("standby", false);
        config.putObject("limits")
                .put("maxHeaderBytes", 16384)
                .put("maxBodyBytes", 262144)
                .put("headerTimeoutMs", 3000)
                .put("idleTimeoutMs", 15000);
        return config;
    }

    static ObjectNode route(String name, String prefix, int attempts) {
        return Json.object()
                .put("name", name)
                .put("host", HOST)
                .put("pathPrefix", prefix)
                .put("routeType", "unsafe")
                .put("timeoutMs", 3000)
                .put("targetLatencyMs", 1000)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("attempts", attempts)
                .put("stretch", 2.0);
    }

    // The clients

    /** Hands a job in until it is accepted, as a client does. */
    void submit(String id, JsonNode job, long withinMs) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        while (System.nanoTime() < untilNs) {
            Answer answer = client("POST", PREFIX + id, Json.bytes(job));
            Record.line("client: POST " + PREFIX + id + " -> " + answer.status());
            if (answer.status() / 100 == 2) {
                return;
            }
            Thread.sleep(500);
        }
        throw new CaseFailed("the job " + id + " was not accepted");
    }

    /** Asks for the state of a job; empty if there was no answer with one. */
    String state(String id) {
        Answer answer = client("GET", PREFIX + id, new byte[0]);
        try {
            String state = answer.status() == STATUS_OK
                    ? Json.read(answer.body().getBytes()).path("state").asText()
                    : "";
            Record.line("client: GET " + PREFIX + id + " -> " + answer.status() + " " + state);
            return state;
        } catch (IOException e) {
            return "";
        }
    }

    private Answer client(String method, String path, byte[] body) {
        String ip = entryIps.get(nextEntry.getAndIncrement() % entryIps.size());
        return send(method, "http://" + ip + ":" + frontPort + path, HOST, body, 3000);
    }

    private Answer send(String method, String url, String host, byte[] body, long timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        if (host != null) {
            request.header("Host", host).header("X-Deadline-Ms", Long.toString(timeoutMs));
        }
        if (body.length > 0) {
            request.header("Content-Type", "application/json");
        }
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == REDIRECT
                    ? new Answer(REDIRECT, response.headers().firstValue("Location").orElse(""))
                    : new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, "");
        } catch (InterruptedException e) {
            throw new CaseFailed("interrupted");
        }
    }

    /** Ends all processes and removes the folder. */
    void close() {
        synchronized (processes) {
            processes.values().forEach(Process::destroyForcibly);
            for (Process process : processes.values()) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            Record.line("the folder was not removed: " + e);
        }
    }
}
