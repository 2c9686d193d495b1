package review;

import java.util.List;

/** The answers to an executor that leaves are cut off; it ends some seconds later, as the pages say. */
final class LostLeaveAck extends Case {
    private static final long WORK_MS = 9000;
    /** "Some seconds", and less than the cut of 5.5 s that the site file has. */
    private static final long ENDS_ANYWAY_MS = 3000;

    private LostLeaveAck() throws Exception {}

    public static void main(String[] args) {
        run(args[0], LostLeaveAck::new);
    }

    @Override
    List<String> play() throws Exception {
        site.configure(Site.config(1, 4), 30_000);
        openExecutors(8, 32_000, 125_000, true);
        String id = Jobs.id();
        site.submit(id, Jobs.oneStep(1, 3500, 6400, WORK_MS), 10_000);
        await("the task at work", 10_000, () -> executors.stream().anyMatch(e -> !e.atWork().isEmpty()));
        Executor leaving = executors.stream()
                .filter(e -> !e.atWork().isEmpty())
                .findFirst()
                .orElseThrow();
        sleep(500);
        leaving.drain();
        // It continues for drainMs after the acknowledgement and a little longer.
        sleep(Executor.DRAIN_MS + 500);
        if (trouble) {
            leaving.cut(true, false);
        }
        boolean acknowledged = leaving.leave(leaving.heartbeatHost(), ENDS_ANYWAY_MS);
        Record.line("the Leave is " + (acknowledged ? "" : "not ") + "acknowledged");
        leaving.end();
        sleep(2000);
        if (trouble) {
            leaving.cut(false, false);
        }
        String state = "";
        long untilNs = System.nanoTime() + 40_000_000_000L;
        while (System.nanoTime() < untilNs && !state.equals("completed")) {
            sleep(500);
            state = site.state(id);
        }
        recordRuns();
        site.recordLog("run.", "worker.gone", "worker.drains", "worker.silent", "job.ended");
        return state.equals("completed") ? twice() : List.of("LOST: the job " + id + " is " + state);
    }
}
