import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Long-running jobs whose tasks fail now and then, on executors that run nothing else. */
final class FailingLastingTasks {
    private static final int EXECUTORS = 8;
    private static final int JOBS = 6;
    private static final int WIDTH = 6;
    private static final int CPU = 4000;
    /** How many runs fail on each executor, one by one. */
    private static final int FAILURES_EACH = 3;
    private static final long BETWEEN_MS = 2000;
    private static final double CALM_S = 15;

    private FailingLastingTasks() {}

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
        if (!site.configure(Site.config(1, List.of(Site.route("r-watch", "/pule252/", 4))), 20_000)) {
            record.line("no configuration was acknowledged");
            return 2;
        }
        List<Executor.Ran> history = new ArrayList<>();
        List<Executor> executors = new ArrayList<>();
        int port = Site.freePort();
        for (int i = 0; i < EXECUTORS; i++) {
            executors.add(new Executor(site, i, port, task -> 0, history));
        }
        Thread.sleep(3000);
        String body = Json.write(Json.of(
                "taskSpec", "watch",
                "steps",
                        List.of(Json.of(
                                "count", WIDTH, "cpu", CPU, "memMb", 8000, "estRuntimeMs", 270, "longRunning", true))));
        Set<String> tasks = new HashSet<>();
        for (int job = 0; job < JOBS; job++) {
            String id = String.format("5c0e7a21d94b36%02x", job);
            int accepted = 0;
            for (int tries = 0; tries < 10 && accepted != 200; tries++) {
                accepted = site.client(tries % 2, "POST", "/pule252/" + id, body).status();
            }
            if (accepted != 200) {
                return 2;
            }
            for (int index = 0; index < WIDTH; index++) {
                tasks.add(id + ".0.0." + index);
            }
        }
        Thread.sleep(6000);
        record.line("at work: " + atWork(executors) + " of " + tasks.size() + " tasks");
        int failures = 0;
        for (int round = 0; round < FAILURES_EACH; round++) {
            for (Executor executor : executors) {
                Thread.sleep(BETWEEN_MS);
                if (trouble && executor.failOne()) {
                    failures++;
                }
            }
        }
        double calmFrom = record.seconds();
        record.line("the last of " + failures + " runs has failed; at work: " + atWork(executors));
        while (record.seconds() < calmFrom + CALM_S) {
            Thread.sleep(1000);
            record.line("at work: " + atWork(executors) + " of " + tasks.size() + ", on each executor " + counts(executors));
        }
        for (int job = 0; job < JOBS; job++) {
            site.client(job % 2, "GET", String.format("/pule252/5c0e7a21d94b36%02x", job), "");
        }
        return judge(record, executors, history, tasks, calmFrom);
    }

    private static int judge(
            Record record, List<Executor> executors, List<Executor.Ran> history, Set<String> tasks, double calmFrom) {
        double now = record.seconds();
        Map<String, Double> lastEnd = new HashMap<>();
        Set<String> running = new HashSet<>();
        synchronized (history) {
            for (Executor.Ran ran : history) {
                if (ran.how()[0].equals("runs")) {
                    running.add(ran.task());
                } else {
                    lastEnd.merge(ran.task(), ran.toS()[0], Math::max);
                }
            }
        }
        int room = 0;
        for (Executor executor : executors) {
            room += (32000 - CPU * executor.count()) / CPU;
        }
        double share = (double) CPU * running.size() / (32000 * EXECUTORS);
        int waiting = 0;
        for (String task : tasks) {
            // From 6 s after its last run, for 3 s, in calm since before.
            if (!running.contains(task) && now - Math.max(lastEnd.getOrDefault(task, 0.0), calmFrom) > 6 + 3 + 4) {
                waiting++;
                record.line("not running for " + Math.round(now - lastEnd.getOrDefault(task, 0.0)) + " s: " + task);
            }
        }
        executors.forEach(Executor::close);
        boolean broken = waiting > 0 && room >= 2 * waiting && share < 0.5;
        record.line(waiting + " tasks wait; room for " + room + " of them on sound executors; share of the service's processor in use "
                + String.format("%.2f", share) + (broken ? ": LOST is broken" : ""));
        return broken ? 1 : waiting == 0 ? 0 : 2;
    }

    private static int atWork(List<Executor> executors) {
        return executors.stream().mapToInt(Executor::count).sum();
    }

    private static List<Integer> counts(List<Executor> executors) {
        return executors.stream().map(Executor::count).toList();
    }
}
