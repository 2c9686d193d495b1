package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** An executor crashes under one occurrence of a gang that runs several times. */
final class RepeatedGang extends Case {
    private static final int TIMES = 2;
    private static final int SIZE = 2;
    private static final long WORK_MS = 4000;

    private RepeatedGang() throws Exception {}

    public static void main(String[] args) {
        run(args[0], RepeatedGang::new);
    }

    @Override
    List<String> play() throws Exception {
        site.configure(Site.config(1, 4), 30_000);
        openExecutors(8, 32_000, 125_000, false);
        String id = Jobs.id();
        // Each task takes more than half of an executor, so that each has one of its own.
        ObjectNode job = Jobs.oneStep(SIZE, 20_000, 6400, WORK_MS);
        ((ObjectNode) job.path("steps").path(0)).put("gang", true);
        job.put("startAtMs", System.currentTimeMillis()).put("intervalMs", 1).put("repeatCount", TIMES);
        site.submit(id, job, 10_000);
        await("both occurrences at work", 10_000, () -> executors.stream()
                        .mapToInt(e -> e.atWork().size())
                        .sum()
                == TIMES * SIZE);
        if (trouble) {
            sleep(1000);
            Executor at = executors.stream()
                    .filter(e -> e.atWork().stream().anyMatch(run -> run.task.startsWith(id + ".1.")))
                    .findFirst()
                    .orElseThrow();
            at.crash();
            sleep(1000);
            at.start();
        }
        String state = "";
        long untilNs = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < untilNs && !List.of("completed", "failed", "cancelled").contains(state)) {
            sleep(200);
            state = site.state(id);
        }
        Set<Integer> done = new HashSet<>();
        for (Executor executor : executors) {
            for (Run run : executor.runs()) {
                if (run.how.equals("done")) {
                    done.add(Integer.parseInt(run.task.split("\\.")[1]));
                }
            }
        }
        Record.line("shown as " + state + " when the occurrences with an end 'done' are " + done);
        sleep(5000);
        recordRuns();
        site.recordLog("run.", "job.ended");
        List<String> broken = new ArrayList<>();
        if (state.equals("completed") && done.size() < TIMES) {
            broken.add("MIXED: the job " + id + " is shown as completed, and of its " + TIMES
                    + " occurrences only these were done: " + done);
        } else if (!state.equals("completed")) {
            broken.add("LOST: the job " + id + " is " + state);
        }
        return broken;
    }
}
