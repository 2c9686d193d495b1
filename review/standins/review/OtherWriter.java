package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One heartbeat comes from another writer and names no executor: its address is empty. */
final class OtherWriter extends Case {
    /** As finish_s of the site. */
    private static final long LATE_MS = 14_000;
    private static final long IDLE_MS = 4000;

    private OtherWriter() throws Exception {}

    public static void main(String[] args) {
        run(args[0], OtherWriter::new);
    }

    @Override
    List<String> play() throws Exception {
        site.configure(Site.config(1, 4), 30_000);
        openExecutors(4, 32_000, 125_000, false);
        if (trouble) {
            ObjectNode body = Json.object()
                    .put("service", Site.SERVICE)
                    .put("address", "")
                    .put("zone", "z1")
                    .put("version", "v1")
                    .put("slots", 8)
                    .put("state", "ready")
                    .put("coldLeftMs", 0)
                    .put("clockMs", 5000)
                    .put("born", System.currentTimeMillis() - 5000)
                    .put("sequence", 4);
            body.putObject("capacity").put("cpu", 32_000).put("memMb", 125_000).put("gpu", 0);
            body.putArray("labels").add("a").add("r1-1");
            HttpClient http = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .followRedirects(HttpClient.Redirect.ALWAYS)
                    .build();
            for (String address : site.controlAddresses()) {
                HttpResponse<String> answer = http.send(
                        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/Executors.Heartbeat/i-9"))
                                .timeout(Duration.ofSeconds(1))
                                .POST(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(body)))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                Record.line("another writer: heartbeat to " + address + " -> " + answer.statusCode());
                if (answer.statusCode() == 200) {
                    break;
                }
            }
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String id = Jobs.id();
            ids.add(id);
            site.submit(id, Jobs.oneStep(6, 3500, 6400, 1000), 10_000);
        }
        boolean restarts = trouble && "1".equals(System.getenv("RESTART"));
        if (restarts) {
            sleep(3000);
            site.kill(site.leader());
        }
        sleep(LATE_MS);
        // The jobs are asked for, and their executors are watched for over 3 s.
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IDLE_MS);
        Set<String> open = new LinkedHashSet<>(ids);
        Set<String> idle = new LinkedHashSet<>(ids);
        while (System.nanoTime() < untilNs) {
            open.removeIf(id -> site.state(id).equals("completed"));
            for (Executor executor : executors) {
                executor.atWork().forEach(run -> idle.remove(run.task.substring(0, run.task.indexOf('.'))));
            }
            sleep(250);
        }
        open.retainAll(idle);
        List<String> broken = new ArrayList<>();
        open.forEach(id -> broken.add("LOST: the accepted job " + id + " isn't done, and for " + IDLE_MS
                + " ms nothing of it has run, on executors that stand empty"));
        recordRuns();
        site.recordLog("fault", "worker.new", "lead.gained");
        return broken;
    }
}
