import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A heartbeat of another writer, with a field of another type, names the address of an executor at work. */
final class OtherWriter {
    private static final String JOB = "/lohu930/5c0e7a21d94b36f8";
    private static final String TASK = "5c0e7a21d94b36f8.0.0.0";

    private OtherWriter() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[0]).resolve("record.txt"));
                Site site = new Site(record, 3, 1, 2)) {
            result = play(record, site, trouble);
            record.line("result " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int play(Record record, Site site, boolean trouble) throws Exception {
        site.start();
        if (!site.configure(Site.config(1, List.of(Site.route("r-quote", "/lohu930/", 4))), 20_000)) {
            return 2;
        }
        List<Executor.Ran> history = new ArrayList<>();
        List<Executor> executors = new ArrayList<>();
        int port = Site.freePort();
        for (int i = 0; i < 4; i++) {
            executors.add(new Executor(site, i, port, task -> 15_000, history));
        }
        Thread.sleep(3000);
        String body = Json.write(Json.of(
                "taskSpec", "quote",
                "steps", List.of(Json.of("count", 1, "cpu", 2000, "memMb", 256, "estRuntimeMs", 15000))));
        int accepted = 0;
        for (int tries = 0; tries < 10 && accepted != 200; tries++) {
            accepted = site.client(tries % 2, "POST", JOB, body).status();
        }
        if (accepted != 200) {
            return 2;
        }
        Thread.sleep(4000);
        Executor holder = executors.stream().filter(executor -> executor.runs(TASK)).findFirst().orElseThrow();
        if (trouble) {
            Map<String, Object> beat = new LinkedHashMap<>(holder.heartbeat());
            beat.put("slots", "eight");
            beat.put("born", System.currentTimeMillis());
            beat.put("sequence", 1);
            String text = Json.write(beat);
            for (Site.Host host : site.controls) {
                Http.Reply reply =
                        Site.control(host.address(), "POST", "/v1/Executors.Heartbeat/i-other", text, 1000);
                record.line("heartbeat of another writer to " + host.name + ": " + text + " -> " + reply.status());
                if (reply.status() != 0 && reply.status() != 503) {
                    break;
                }
            }
        }
        String state = "";
        for (int i = 0; i < 20 && !state.equals("completed"); i++) {
            Thread.sleep(1500);
            Http.Reply shown = site.client(i % 2, "GET", JOB, "");
            state = shown.status() == 200 ? (String) shown.json().get("state") : state;
        }
        Thread.sleep(500);
        executors.forEach(Executor::close);
        boolean twice = false;
        for (Executor.Ran ran : history) {
            record.line(String.format(
                    "ran: %s run %d on %s from %.2f s to %.2f s, how %s",
                    ran.task(), ran.run(), ran.executor(), ran.fromS(), ran.toS()[0], ran.how()[0]));
            for (Executor.Ran other : history) {
                twice |= ran != other && ran.fromS() < other.fromS()
                        && (other.fromS() < ran.toS()[0] || ran.how()[0].equals("runs"));
            }
        }
        record.line(twice ? "two runs of the task at the same time: TWICE is broken" : "TWICE holds");
        return twice ? 1 : state.equals("completed") ? 0 : 2;
    }
}
