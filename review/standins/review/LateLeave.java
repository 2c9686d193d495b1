package review;

import java.util.List;

/** A Leave that a partition held up arrives after its executor has started again under the same id. */
final class LateLeave extends Case {
    private static final long WORK_MS = 6000;
    private static final long ENDS_ANYWAY_MS = 2000;
    private static final long BACK_MS = 1000;

    private LateLeave() throws Exception {}

    public static void main(String[] args) {
        run(args[0], LateLeave::new);
    }

    @Override
    List<String> play() throws Exception {
        site.configure(Site.config(1, 4), 30_000);
        openExecutors(8, 32_000, 125_000, true);
        Executor leaving = executors.get(0);
        leaving.drain();
        // It continues for drainMs after the acknowledgement and a little longer.
        sleep(Executor.DRAIN_MS + 500);
        String host = leaving.heartbeatHost();
        Link path = leaving.calls.get(host);
        if (trouble) {
            Record.line("the path from " + leaving.id + " to " + host + " is cut");
            path.cut(true, true);
        }
        boolean acknowledged = leaving.leave(host, ENDS_ANYWAY_MS);
        Record.line("the Leave is " + (acknowledged ? "" : "not ") + "acknowledged");
        leaving.end();
        sleep(BACK_MS);
        if (trouble) {
            Record.line("the cut ends; what it held up is repeated a little later");
            path.heal();
        }
        leaving.start();
        await("a heartbeat of the new incarnation", 10_000, leaving::heard);
        Record.line("the new incarnation is registered");
        String id = Jobs.id();
        site.submit(id, Jobs.oneStep(24, 3500, 6400, WORK_MS), 10_000);
        await("tasks at work on it", 10_000, () -> !leaving.atWork().isEmpty());
        if (trouble) {
            Record.line("the held-up Leave arrives");
            path.deliver();
        }
        String state = "";
        long untilNs = System.nanoTime() + 40_000_000_000L;
        while (System.nanoTime() < untilNs && !state.equals("completed")) {
            sleep(500);
            state = site.state(id);
        }
        recordRuns();
        site.recordLog("worker.", "it left", "job.ended");
        return state.equals("completed") ? twice() : List.of("LOST: the job " + id + " is " + state);
    }
}
