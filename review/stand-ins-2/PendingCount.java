import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Jobs that have not begun, while one executor refuses starts and the others are full. */
final class PendingCount {
    private static final int EXECUTORS = 12;
    private static final int JOBS = 4;
    private static final long GREY_MS = 6400;

    private static final Executor.Work WORK = task -> task.startsWith("5c0e7a21d94b36f8") ? 0 : 900;

    private PendingCount() {}

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

    private static String job(int count, int cpu, boolean lasts) {
        return Json.write(Json.of(
                "taskSpec", "work",
                "steps",
                        List.of(Json.of(
                                "count", count, "cpu", cpu, "memMb", 256, "estRuntimeMs", 900, "longRunning", lasts))));
    }

    private static int play(Record record, Site site, boolean trouble) throws Exception {
        site.start();
        boolean configured = site.configure(
                Site.config(1, List.of(Site.route("r-watch", "/pule252/", 4), Site.route("r-quote", "/lohu930/", 4))),
                20_000);
        if (!configured) {
            return 2;
        }
        List<Executor.Ran> history = new ArrayList<>();
        List<Executor> executors = new ArrayList<>();
        int port = Site.freePort();
        for (int i = 0; i < EXECUTORS - 1; i++) {
            executors.add(new Executor(site, i, port, WORK, history));
        }
        Thread.sleep(3000);
        if (site.client(0, "POST", "/pule252/5c0e7a21d94b36f8", job(EXECUTORS - 1, 32000, true)).status() != 200) {
            return 2;
        }
        // One executor is kept free for short work until another one comes.
        Executor last = new Executor(
                site, EXECUTORS - 1, port, WORK, history);
        executors.add(last);
        int full = 0;
        for (int waited = 0; waited < 12_000 && full < EXECUTORS - 1; waited += 100) {
            Thread.sleep(100);
            full = executors.stream().mapToInt(Executor::count).sum();
        }
        record.line(full + " executors of " + EXECUTORS + " are full");
        Executor free = executors.stream().filter(executor -> executor.count() == 0).findFirst().orElseThrow();
        Thread.sleep(1500);
        if (trouble) {
            free.shed(true);
        }
        long greyNs = System.nanoTime();
        for (int i = 0; i < JOBS; i++) {
            if (site.client(i % 2, "POST", "/lohu930/5c0e7a21d94b360" + i, job(1, 4000, false)).status() != 200) {
                return 2;
            }
        }
        // Over visible_ms + 2 s after the acknowledgements.
        Thread.sleep(5200);
        Http.Reply reply = site.client(0, "GET", "/lohu930/", "");
        long pending = reply.status() == 200 ? (Long) reply.json().get("pending") : -1;
        long begun;
        synchronized (history) {
            begun = history.stream()
                    .map(ran -> ran.task().substring(0, 16))
                    .filter(id -> id.startsWith("5c0e7a21d94b360"))
                    .distinct()
                    .count();
        }
        record.line("unhealthy for " + (System.nanoTime() - greyNs) / 1_000_000 + " ms of at most " + GREY_MS);
        free.shed(false);
        long waiting = JOBS - begun;
        record.line(waiting + " jobs accepted over 5 s before have not begun; pending is given as " + pending);
        executors.forEach(Executor::close);
        if (pending < 0) {
            return 2;
        }
        boolean broken = 2 * pending < waiting;
        record.line(broken ? "MIXED is broken" : "MIXED holds");
        return broken ? 1 : 0;
    }
}
