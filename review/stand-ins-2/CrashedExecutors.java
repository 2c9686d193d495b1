import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A long-running job whose executor crashes three times, each time soon after the task began there. */
final class CrashedExecutors {
    private static final int EXECUTORS = 8;
    private static final int CRASHES = 3;
    private static final String JOB = "/pule252/5c0e7a21d94b36f8";
    private static final String TASK = "5c0e7a21d94b36f8.0.0.0";

    private CrashedExecutors() {}

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
                                "count", 1, "cpu", 6400, "memMb", 13000, "estRuntimeMs", 270, "longRunning", true))));
        int accepted = 0;
        for (int tries = 0; tries < 10 && accepted != 200; tries++) {
            accepted = site.client(tries % 2, "POST", JOB, body).status();
        }
        if (accepted != 200) {
            return 2;
        }
        for (int crash = 1; crash <= CRASHES; crash++) {
            Executor holder = awaitHolder(executors, 12_000);
            if (holder == null) {
                break;
            }
            Thread.sleep(1000);
            if (trouble) {
                holder.crash();
                Thread.sleep(2000);
                holder.restart();
                Thread.sleep(1500);
            } else {
                Thread.sleep(3500);
            }
            site.client(crash % 2, "GET", JOB, "");
        }
        String state = "";
        for (int i = 0; i < 5; i++) {
            Thread.sleep(1000);
            Http.Reply shown = site.client(i % 2, "GET", JOB, "");
            state = shown.status() == 200 ? (String) shown.json().get("state") : state;
        }
        long failedEnds = 0;
        for (Executor.Ran ran : history) {
            record.line("ran: " + ran.task() + " run " + ran.run() + " on " + ran.executor() + ", how " + ran.how()[0]);
            failedEnds += ran.how()[0].equals("failed") ? 1 : 0;
        }
        executors.forEach(Executor::close);
        boolean broken = state.equals("failed") && failedEnds == 0;
        record.line("the job is shown as " + state + "; ends 'failed': " + failedEnds + "; nobody has cancelled it"
                + (broken ? ": LOST is broken" : ""));
        return broken ? 1 : state.equals("running") ? 0 : 2;
    }

    private static Executor awaitHolder(List<Executor> executors, long limitMs) throws InterruptedException {
        for (long waited = 0; waited < limitMs; waited += 20) {
            for (Executor executor : executors) {
                if (executor.runs(TASK)) {
                    return executor;
                }
            }
            Thread.sleep(20);
        }
        return null;
    }
}
