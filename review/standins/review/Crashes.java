package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Executors crash one after another under a sound task. */
final class Crashes extends Case {
    private static final int CRASHES = 3;
    private static final int BACK_MS = 1000;
    private static final int AT_WORK_MS = 700;
    private static final long WORK_MS = 4000;
    /** So much work that the task lasts. */
    private static final long HOUR_MS = 3_600_000;
    private static final long STATE_MS = 8000;

    private Crashes() throws Exception {}

    public static void main(String[] args) {
        Case.run(args[0], Crashes::new);
    }

    @Override
    List<String> play() throws Exception {
        site.configure(Site.config(1, 4), 30_000);
        openExecutors(8, 32_000, 125_000, false);
        List<String> broken = new ArrayList<>();
        broken.addAll(play("a job of one task", Jobs.oneStep(1, 3500, 6400, WORK_MS), "completed"));
        ObjectNode lasting = Jobs.oneStep(1, 6400, 13_000, HOUR_MS);
        ((ObjectNode) lasting.path("steps").path(0)).put("longRunning", true).remove("estRuntimeMs");
        broken.addAll(play("a job of one task that lasts", lasting, "running"));
        broken.addAll(twice());
        recordRuns();
        site.recordLog("run.crashed", "job.ended");
        return broken;
    }

    private List<String> play(String what, ObjectNode job, String sound) throws Exception {
        String id = Jobs.id();
        site.submit(id, job, 10_000);
        await("the task at work", 20_000, () -> of(id) != null);
        for (int i = 0; trouble && i < CRASHES; i++) {
            await("the task at work", 20_000, () -> of(id) != null && run(of(id), id).elapsedMs() >= AT_WORK_MS);
            Executor at = of(id);
            at.crash();
            sleep(BACK_MS);
            at.start();
        }
        String state = "";
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STATE_MS);
        while (System.nanoTime() < untilNs && !List.of("completed", "failed", "cancelled").contains(state)) {
            sleep(500);
            state = site.state(id);
        }
        long failedEnds = executors.stream()
                .flatMap(e -> e.runs().stream())
                .filter(run -> run.task.startsWith(id) && run.how.equals("failed"))
                .count();
        if (state.equals("failed") || state.equals("cancelled")) {
            return List.of("LOST: " + id + ", " + what + ", is shown as " + state + " after " + failedEnds
                    + " ends 'failed'; its queue has 4 attempts, nobody cancelled it");
        }
        return state.equals(sound) ? List.of() : List.of("LOST: " + id + ", " + what + ", is " + state);
    }

    private Executor of(String id) {
        return executors.stream().filter(e -> run(e, id) != null).findFirst().orElse(null);
    }

    private static Run run(Executor executor, String id) {
        return executor.atWork().stream()
                .filter(run -> run.task.startsWith(id))
                .findFirst()
                .orElse(null);
    }
}
