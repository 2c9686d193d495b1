package review;

import java.util.ArrayList;
import java.util.List;

/** The processes of the core are killed while an executor has more small tasks than fit into one page of ends. */
final class ManyEnds extends Case {
    private static final int TASKS = 600;
    private static final long WORK_MS = 5000;
    /** The processes are back within a second. */
    private static final long BACK_MS = 800;

    private ManyEnds() throws Exception {}

    public static void main(String[] args) {
        run(args[0], ManyEnds::new);
    }

    @Override
    List<String> play() throws Exception {
        site.configure(Site.config(1, 4), 30_000);
        openExecutors(1, 32_000, 125_000, false);
        Executor executor = executors.get(0);
        String id = Jobs.id();
        site.submit(id, Jobs.oneStep(TASKS, 50, 100, WORK_MS), 10_000);
        await("all tasks at work", 4500, () -> executor.runs().size() == TASKS);
        Record.line("all " + TASKS + " tasks are at work");
        if (trouble) {
            // Just before the first task ends.
            await("the first task near its end", 10_000, () -> executor.runs().get(0).elapsedMs() > WORK_MS - 100);
            for (String ip : site.controlIps) {
                site.kill(ip);
            }
            sleep(BACK_MS);
            for (String ip : site.controlIps) {
                site.startProcess(ip, false);
            }
        }
        String state = "";
        long untilNs = System.nanoTime() + 40_000_000_000L;
        while (System.nanoTime() < untilNs && !state.equals("completed")) {
            sleep(300);
            state = site.state(id);
        }
        sleep(2000);
        recordRuns();
        site.recordLog("lead.", "loop.slow", "fault", "job.ended", "worker.");
        List<String> broken = new ArrayList<>(twice());
        if (!state.equals("completed")) {
            broken.add("LOST: the job " + id + " is " + state);
        }
        int all = broken.size();
        return all <= 3 ? broken : List.of(broken.get(0), broken.get(1), "and " + (all - 2) + " more");
    }
}
