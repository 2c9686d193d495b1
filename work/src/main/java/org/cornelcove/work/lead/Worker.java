package org.cornelcove.work.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.WorkerHealth;

/**
 * One life of a worker as the leader sees it: its room, its runs, and how long its lease may last. Used on the leader's
 * loop only.
 *
 * <p>A worker's clock is known to be at least what it told when its answer came, and to run at most {@link #DRIFT} slower
 * than ours. A lease counts as over when even this lowest clock has passed the highest deadline ever sent.
 */
final class Worker {
    /** How slowly a worker's clock may run, as a share. */
    private static final double DRIFT = 0.03;
    /** How old a worker's last word may be for a placement: three heartbeats of a second and a bit. */
    private static final long FRESH_MS = 3600;

    private record RunKey(TaskKey task, int runId) {}

    final String id;
    final long bornMs;
    final WorkerHealth health = new WorkerHealth();
    /** How badly fill work of an image and size would disturb it, until a look, a start or an end changes that. */
    final Map<String, Double> disturbances = new HashMap<>();

    /** Sensitivity difference between its lasting tasks and an image; cached like the disturbances. */
    final Map<String, Double> sensitivityDifference = new HashMap<>();
    /** Share of all fill work that its lasting tasks tolerate, negative if not known; cached like the disturbances. */
    double fillTolerance = -1;

    private final Set<TaskKey> failedTasks = new HashSet<>();
    private final Map<RunKey, ActiveRun> runs = new HashMap<>();
    Optional<WorkerInfo> info = Optional.empty();
    long heardMs = Long.MIN_VALUE / 2;
    private long clockMs;
    private long clockAtMs;
    private boolean clockKnown;
    private long highestDeadlineMs;
    /** When leases of earlier leaders are over, on our clock. */
    long inheritedUntilMs;
    /** Whether it has answered a look with this leader's fence. */
    boolean fenced;

    long notedEnd;
    /** The newest end that the worker was told is noted. */
    long toldEnd;

    long pacedMs;
    /** Since when all fill work here stands still because a lasting task was over its target too long; 0 if it doesn't. */
    long fillStoppedMs;

    long highestEnd;
    boolean holding;
    long holdDueMs;
    int holdFailures;
    int cpuUsed;
    int memoryUsed;
    int acceleratorsUsed;
    int serving;
    int fills;
    int servingCpu;
    int fillCpu;
    final TreeSet<Long> endsUnderWay = new TreeSet<>();
    long avoidUntilMs;
    /** Whether this leader heard a heartbeat: only that tells whether the worker is about to leave. */
    boolean announced;

    boolean leaving;
    boolean gone;

    Worker(String id, long bornMs) {
        this.id = id;
        this.bornMs = bornMs;
    }

    Iterable<ActiveRun> runs() {
        return runs.values();
    }

    int runCount() {
        return runs.size();
    }

    Optional<ActiveRun> run(TaskKey task, int runId) {
        return Optional.ofNullable(runs.get(new RunKey(task, runId)));
    }

    void add(ActiveRun run) {
        runs.put(new RunKey(run.task, run.runId), run);
        use(run.step, 1);
    }

    void remove(ActiveRun run) {
        if (runs.remove(new RunKey(run.task, run.runId)) != null) {
            use(run.step, -1);
        }
    }

    /** What runs here, or what is known of it, has changed. */
    void forgetFit() {
        disturbances.clear();
        sensitivityDifference.clear();
        fillTolerance = -1;
    }

    private void use(StepSpec step, int sign) {
        forgetFit();
        cpuUsed += step.fill() ? 0 : sign * step.cpuMillis();
        memoryUsed += sign * step.memoryMb();
        acceleratorsUsed += sign * step.accelerators();
        serving += step.lasting() && step.targetMs() > 0 ? sign : 0;
        servingCpu += step.lasting() && !step.fill() ? sign * step.cpuMillis() : 0;
        fills += step.fill() ? sign : 0;
        fillCpu += step.fill() ? sign * step.cpuMillis() : 0;
    }

    /**
     * Notes that an end is in the durable state; ends are told to the worker in their order.
     *
     * @param number the occurrence, counted from 0
     */
    void endNoted(long number) {
        endsUnderWay.remove(number);
        notedEnd = endsUnderWay.isEmpty() ? highestEnd : endsUnderWay.first() - 1;
    }

    void noteFailure(TaskKey task, long nowMs) {
        failedTasks.add(task);
        health.failed(task.jobId(), nowMs);
    }

    /** Tells whether a task fits by size alone; cheap, so that only the few workers with room are looked at closely. */
    boolean hasRoom(StepSpec step) {
        return hasRoomBeside(step, cpuUsed);
    }

    /** Tells whether a task will fit by size alone once all but the lasting tasks have ended; cheap too. */
    boolean willHaveRoom(StepSpec step) {
        return hasRoomBeside(step, servingCpu);
    }

    private boolean hasRoomBeside(StepSpec step, int reservedMillis) {
        WorkerInfo held = info.orElseThrow();
        return (step.fill() || step.cpuMillis() <= held.cpuMillis() - reservedMillis)
                && step.memoryMb() <= held.memoryMb() - memoryUsed
                && step.accelerators() <= held.accelerators() - acceleratorsUsed;
    }

    boolean failedTask(TaskKey task) {
        return failedTasks.contains(task);
    }

    int runsOfStep(TaskKey task) {
        int count = 0;
        for (ActiveRun run : runs.values()) {
            count += run.sameStep(task) ? 1 : 0;
        }
        return count;
    }

    void heard(long nowMs, OptionalLong clock) {
        heardMs = Math.max(heardMs, nowMs);
        if (clock.isPresent() && (!clockKnown || clock.getAsLong() >= lowestClockMs(nowMs))) {
            clockMs = clock.getAsLong();
            clockAtMs = nowMs;
            clockKnown = true;
        }
    }

    private long lowestClockMs(long nowMs) {
        return clockMs + (long) ((nowMs - clockAtMs) * (1 - DRIFT));
    }

    /**
     * Returns a deadline on the worker's clock, and remembers that it was sent.
     *
     * @param nowMs the time on a monotonic clock
     * @param leaseMs the lease ms
     * @return a deadline on the worker's clock, and remembers that it was sent
     */
    OptionalLong deadline(long nowMs, long leaseMs) {
        if (!clockKnown) {
            return OptionalLong.empty();
        }
        long deadline = lowestClockMs(nowMs) + leaseMs;
        highestDeadlineMs = Math.max(highestDeadlineMs, deadline);
        return OptionalLong.of(deadline);
    }

    /**
     * Tells whether nothing that was ever ordered can run there any more.
     *
     * @param nowMs the time on a monotonic clock
     * @return whether nothing that was ever ordered can run there any more
     */
    boolean leasesOver(long nowMs) {
        boolean ownOver = highestDeadlineMs == 0 || clockKnown && lowestClockMs(nowMs) > highestDeadlineMs;
        return ownOver && (fenced || nowMs > inheritedUntilMs);
    }

    boolean usable(long nowMs) {
        return info.isPresent()
                && announced
                && !gone
                && !leaving
                && !info.get().draining()
                && clockKnown
                && nowMs - heardMs < FRESH_MS
                && holdFailures == 0
                && nowMs >= avoidUntilMs
                && !health.quarantined(nowMs)
                && !(health.onProbation() && runCount() > 0);
    }

    /**
     * Tells whether the leader has to look at it.
     *
     * @param nowMs the time on a monotonic clock
     * @return whether the leader has to look at it
     */
    boolean needsLook(long nowMs) {
        // One that was silent and says again that it lives gets nothing until it has answered.
        boolean back = holdFailures > 0 && nowMs - heardMs < FRESH_MS;
        // While an end is on its way into the state, a look would only show it again.
        return !gone && info.isPresent() && endsUnderWay.isEmpty() && (runCount() > 0 || highestEnd > toldEnd || back);
    }
}
