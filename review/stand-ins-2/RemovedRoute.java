import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;

/** An entry freezes while jobs are handed in, and the operator removes their route before it wakes. */
final class RemovedRoute {
    private static final int ROUNDS = 8;
    private static final int JOBS = 24;
    private static final long FREEZE_MS = 1500;

    private RemovedRoute() {}

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

    private static String config(int firstRoute) {
        List<Map<String, Object>> routes = new ArrayList<>();
        routes.add(Site.route("r-watch", "/pule252/", 4));
        for (int i = firstRoute; i < ROUNDS; i++) {
            routes.add(Site.route("r-" + i, "/queue" + i + "/", 4));
        }
        return Site.config(firstRoute + 1, routes);
    }

    private static int play(Record record, Site site, boolean trouble) throws Exception {
        site.start();
        if (!site.configure(config(0), 20_000)) {
            return 2;
        }
        List<Executor.Ran> history = new ArrayList<>();
        List<Executor> executors = new ArrayList<>();
        int port = Site.freePort();
        for (int i = 0; i < 4; i++) {
            executors.add(new Executor(site, i, port, task -> 700, history));
        }
        Thread.sleep(3000);
        String body = Json.write(Json.of(
                "taskSpec", "quote",
                "steps", List.of(Json.of("count", 1, "cpu", 500, "memMb", 256, "estRuntimeMs", 700))));
        for (int i = 0; i < 20; i++) {
            site.client(0, "POST", String.format("/pule252/5c0e7a21d94bff%02x", i), body);
        }
        Map<String, Integer> answers = new ConcurrentSkipListMap<>();
        Set<String> broken = new HashSet<>();
        for (int round = 0; round < ROUNDS && broken.isEmpty(); round++) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("5c0e7a21d94b%02x%02x", round, i);
                String path = "/queue" + round + "/" + id;
                Thread client = new Thread(() -> answers.put(id, site.client(0, "POST", path, body).status()));
                clients.add(client);
            }
            clients.forEach(Thread::start);
            Thread.sleep(4 + 3 * round);
            if (trouble) {
                site.entries.get(0).signal("STOP");
            } else {
                for (Thread client : clients) {
                    client.join();
                }
            }
            Thread.sleep(200);
            boolean removed = site.configure(config(round + 1), 1200);
            record.line("the route of round " + round + (removed ? " is removed" : " may be removed"));
            if (trouble) {
                Thread.sleep(FREEZE_MS - 400);
                site.entries.get(0).signal("CONT");
            }
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(1000);
            synchronized (history) {
                for (Executor.Ran ran : history) {
                    String id = ran.task().substring(0, ran.task().indexOf('.'));
                    if (answers.getOrDefault(id, 200) / 100 == 4) {
                        broken.add(id);
                        record.line("ran: " + ran.task() + " on " + ran.executor() + " from " + ran.fromS() + " s, and its only "
                                + "attempt was answered " + answers.get(id));
                    }
                }
            }
        }
        executors.forEach(Executor::close);
        record.line("answers: " + answers);
        record.line(broken.size() + " jobs were rejected and ran" + (broken.isEmpty() ? "" : ": REFUSED is broken"));
        return broken.isEmpty() ? 0 : 1;
    }
}
