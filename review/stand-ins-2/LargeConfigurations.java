import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Hundreds of changes of a configuration that has grown by many routes. */
final class LargeConfigurations {
    private static final int ROUTES = 1400;
    private static final int CHANGES = 700;
    private static final int IN_PROGRESS = 4;
    /** Each of the operators sends one change after the other, at most three a second. */
    private static final long BETWEEN_MS = 333;
    private static final long CHANGES_MS = 70_000;
    private static final long RECOVERY_MS = 15_000;
    private static final String JOB = "/p0x/5c0e7a21d94b36f8";

    private static final AtomicLong ends = new AtomicLong();

    private LargeConfigurations() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[0]).resolve("record.txt"));
                Site site = new Site(record, 3, 1, 1)) {
            result = play(record, site, trouble);
            record.line("result " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static String config(long version, int routes) {
        List<Map<String, Object>> all = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            Map<String, Object> route = Site.route("r-" + Integer.toString(60_000_000 + i * 7919, 36), "/p" + i + "x/", 4);
            route.put("timeoutMs", 3000 + version);
            all.add(route);
        }
        return Site.config(version, all);
    }

    /** As the platform does: a process that exits is started again after a short delay. */
    private static void restartEnded(Record record, Site site) {
        try {
            while (true) {
                Thread.sleep(500);
                for (Site.Host host : site.controls) {
                    if (!host.alive()) {
                        record.line(host.name + " has ended by itself");
                        ends.incrementAndGet();
                        Thread.sleep(500);
                        host.start();
                    }
                }
            }
        } catch (Exception e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int play(Record record, Site site, boolean trouble) throws Exception {
        int routes = trouble ? ROUTES : 8;
        site.start();
        if (!site.configure(config(1, routes), 20_000)) {
            return 2;
        }
        record.line("the first configuration is acknowledged: " + routes + " routes, " + config(1, routes).length()
                + " bytes");
        List<Executor.Ran> history = new ArrayList<>();
        Executor executor = new Executor(site, 0, Site.freePort(), task -> 0, history);
        Thread.sleep(2500);
        String job = Json.write(Json.of(
                "taskSpec", "watch",
                "steps",
                        List.of(Json.of(
                                "count", 1, "cpu", 4000, "memMb", 8000, "estRuntimeMs", 270, "longRunning", true))));
        if (site.client(0, "POST", JOB, job).status() != 200) {
            return 2;
        }
        AtomicLong next = new AtomicLong(2);
        AtomicLong acknowledged = new AtomicLong(1);
        AtomicLong count = new AtomicLong(1);
        long endNs = System.nanoTime() + CHANGES_MS * 1_000_000;
        ExecutorService operators = Executors.newFixedThreadPool(IN_PROGRESS);
        for (int i = 0; i < IN_PROGRESS; i++) {
            operators.submit(() -> {
                while (System.nanoTime() < endNs && next.get() <= CHANGES) {
                    long version = next.getAndIncrement();
                    Thread.sleep(BETWEEN_MS);
                    String body = config(version, routes);
                    for (int tries = 0; tries < 5 && System.nanoTime() < endNs; tries++) {
                        Http.Reply reply = site.operator("POST", "/v1/Config.Replace", body, 2000);
                        if (reply.status() == 200) {
                            acknowledged.accumulateAndGet(version, Math::max);
                            if (count.incrementAndGet() % 50 == 0) {
                                record.line(count + " changes are acknowledged, version " + version + " is the latest");
                            }
                            break;
                        }
                        record.line("version " + version + " is not acknowledged: " + reply.status());
                        Thread.sleep(500);
                    }
                }
                return null;
            });
        }
        operators.shutdown();
        Thread platform = new Thread(() -> restartEnded(record, site));
        platform.setDaemon(true);
        platform.start();
        while (!operators.isTerminated()) {
            Thread.sleep(100);
        }
        record.line("acknowledged: " + count + " changes, the newest version is " + acknowledged);
        long readNs = System.nanoTime() + RECOVERY_MS * 1_000_000;
        long read = -1;
        while (System.nanoTime() < readNs && read < 0) {
            for (Site.Host host : site.controls) {
                Http.Reply reply = Site.control(host.address(), "GET", "/v1/Config.Read", "", 1000);
                record.line("read at " + host.name + ": " + reply.status() + ", process " + (host.alive() ? "runs" : "has ended"));
                if (reply.status() == 200) {
                    read = Math.max(read, (Long) reply.json().get("version"));
                }
            }
            Thread.sleep(1000);
        }
        int state = 0;
        for (int tries = 0; tries < 3 && state != 200; tries++) {
            state = site.client(0, "GET", JOB, "").status();
        }
        executor.close();
        record.line("the accepted job " + (state == 200 ? "is shown" : "gets no answer"));
        for (Site.Host host : site.controls) {
            long errors = host.log().lines().filter(line -> line.contains("OutOfMemoryError")).count();
            record.line(host.name + ": " + (host.alive() ? "runs" : "has ended") + "; lines with OutOfMemoryError in its log: " + errors);
        }
        record.line("processes that ended by themselves: " + ends);
        boolean broken = read < acknowledged.get() || state != 200;
        record.line("read back: " + (read < 0 ? "nothing" : "version " + read) + (broken ? ": CONFIG or LOST is broken" : ""));
        return broken ? 1 : 0;
    }
}
