package org.cornelcove.work.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcove.policy.quarantine.CrashBlame;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.WorkerHealth;

/**
 * The leader's view of one incarnation of a worker: its room, its runs, and the latest end of its lease. Used on the
 * leader's loop only.
 *
 * <p>A worker's clock reads at least the value in its answer when the answer arrives, and runs slower than the leader's by
 * at most {@link #DRIFT}. A lease is expired once this lower bound has passed the highest deadline ever sent.
 */
final class Worker {
    /** Largest share by which a worker's clock may run slower than the leader's. */
    private static final double DRIFT = 0.03;
    /** Largest age of a worker's last message for a placement: three heartbeats of slightly over a second. */
    private static final long FRESH_MS = 3600;

    private record RunKey(TaskKey task, int runId) {}

    final String id;
    final long processStartMs;
    final WorkerHealth health = new WorkerHealth();
    /** Cached cost of fill work by image and size, cleared by each poll, start and end. */
    final Map<String, Double> disturbances = new HashMap<>();

    /** Sensitivity difference between its lasting tasks and an image; cached like the disturbances. */
    final Map<String, Double> sensitivityDifference = new HashMap<>();
    /** Share of all fill work that its lasting tasks tolerate, negative if not known; cached like the disturbances. */
    double fillTolerance = -1;

    private final Set<TaskKey> failedTasks = new HashSet<>();
    private final Map<RunKey, ActiveRun> runs = new HashMap<>();
    Optional<WorkerInfo> info = Optional.empty();
    long lastContactMs = Long.MIN_VALUE / 2;
    private long clockMs;
    private long clockAtMs;
    private boolean clockKnown;
    private long highestDeadlineMs;
    /** When the last lease was sent to it, or could be by an earlier leader or to an earlier incarnation, on the leader's clock. */
    long grantedMs;
    /** When the leases of earlier leaders expire, on the leader's clock. */
    long inheritedUntilMs;
    /**
     * When the leases expire, on the leader's clock, that it may have got by orders for an earlier incarnation. Their deadlines
     * are far ahead on its own clock, so that it cut them to the longest lease that it accepts.
     */
    long misdirectedUntilMs;
    /** Whether it has answered a poll with this leader's fence. */
    boolean fenced;
    /** Whether a lease was sent to it since, which ends after those of earlier leaders. */
    private boolean leasedSinceFenced;

    long committedEnd;
    /** The newest end whose commit was acknowledged to the worker. */
    long acknowledgedEnd;

    long pacedMs;
    /** Since when all fill work is paused because a lasting task was over its target for too long; 0 if it is not. */
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
    final TreeSet<Long> pendingEnds = new TreeSet<>();
    long avoidUntilMs;
    /** Whether this leader received a heartbeat: only heartbeats show whether the worker is draining. */
    boolean announced;

    /** Until when a draining worker stays at least, as its latest heartbeat says. */
    long staysUntilMs = Long.MAX_VALUE;
    /** Whether it has said that it ends, which it does when that is acknowledged, or later. */
    boolean leaving;

    /** Whether another worker was seen at its address; it gets no starts then. */
    boolean replaced;
    /** Since when, on the monotonic clock. */
    long replacedMs;

    boolean incarnationEnded;
    /**
     * The runs that it had when its leases last expired, until it answers again; whether it had crashed under them shows
     * only later.
     */
    List<ActiveRun> lapsedRuns = List.of();

    /** When its leases last expired, on the monotonic clock. */
    long lapsedMs;
    /** Number of runs whose task was blamed for a crash before. */
    int suspects;

    Worker(String id, long processStartMs) {
        this.id = id;
        this.processStartMs = processStartMs;
    }

    Iterable<ActiveRun> runs() {
        return runs.values();
    }

    int runCount() {
        return runs.size();
    }

    /** Checks whether no run can be active on it, and each end that it listed is in the durable state. */
    boolean idle() {
        return runs.isEmpty() && pendingEnds.isEmpty();
    }

    Optional<ActiveRun> run(TaskKey task, int runId) {
        return Optional.ofNullable(runs.get(new RunKey(task, runId)));
    }

    void add(ActiveRun run) {
        runs.put(new RunKey(run.task, run.runId), run);
        suspects += run.crashes > 0 ? 1 : 0;
        use(run.step, 1);
    }

    void remove(ActiveRun run) {
        if (runs.remove(new RunKey(run.task, run.runId)) != null) {
            suspects -= run.crashes > 0 ? 1 : 0;
            use(run.step, -1);
        }
    }

    /** Clears the cached values that depend on the runs and on their measurements. */
    void clearFitCache() {
        disturbances.clear();
        sensitivityDifference.clear();
        fillTolerance = -1;
    }

    private void use(StepSpec step, int sign) {
        clearFitCache();
        cpuUsed += step.fill() ? 0 : sign * step.cpuMillis();
        memoryUsed += sign * step.memoryMb();
        acceleratorsUsed += sign * step.accelerators();
        serving += step.lasting() && step.targetMs() > 0 ? sign : 0;
        servingCpu += step.lasting() && !step.fill() ? sign * step.cpuMillis() : 0;
        fills += step.fill() ? sign : 0;
        fillCpu += step.fill() ? sign * step.cpuMillis() : 0;
    }

    /**
     * Records that an end is in the durable state; ends are acknowledged to the worker in their order.
     *
     * @param number the number of the end in this incarnation of the worker
     */
    void endCommitted(long number) {
        pendingEnds.remove(number);
        committedEnd = pendingEnds.isEmpty() ? highestEnd : pendingEnds.first() - 1;
    }

    /**
     * Returns up to which end the worker may forget its ends.
     *
     * @return the number of the end, 0 if it has forgotten all that are in the durable state
     */
    long unacknowledgedEnd() {
        return committedEnd > acknowledgedEnd ? committedEnd : 0;
    }

    /**
     * Checks whether a poll may acknowledge ends: a later incarnation that answers would forget its own ends by their numbers.
     *
     * @return false while a later incarnation may have a run
     */
    boolean mayAcknowledge() {
        return !hasUnlistedRuns();
    }

    /** Checks whether a run was sent that no poll has listed, so that a later incarnation may have it. */
    boolean hasUnlistedRuns() {
        return runs.values().stream().anyMatch(ActiveRun::unlisted);
    }

    void recordFailure(TaskKey task, long nowMs) {
        failedTasks.add(task);
        health.failed(task.jobId(), nowMs);
    }

    /** Checks whether a task fits by size alone; a cheap test before the costs of the remaining workers are computed. */
    boolean hasRoom(StepSpec step) {
        return hasRoomBeside(step, cpuUsed);
    }

    /** Checks whether a task fits by size alone once all but the lasting tasks have ended. */
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

    void recordContact(long nowMs, OptionalLong clock) {
        lastContactMs = Math.max(lastContactMs, nowMs);
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
     * Returns a deadline on the worker's clock, and records it as sent.
     *
     * @param nowMs the time on a monotonic clock
     * @param leaseMs the length of the lease in milliseconds
     * @return the deadline in milliseconds, empty if the worker's clock is not known yet
     */
    OptionalLong deadline(long nowMs, long leaseMs) {
        if (!clockKnown) {
            return OptionalLong.empty();
        }
        long deadline = lowestClockMs(nowMs) + leaseMs;
        highestDeadlineMs = Math.max(highestDeadlineMs, deadline);
        grantedMs = nowMs;
        leasedSinceFenced |= fenced;
        return OptionalLong.of(deadline);
    }

    /**
     * Checks whether all leases that any leader sent have expired, so that no run can be active.
     *
     * @param nowMs the time on a monotonic clock
     * @return false also while an earlier leader may still have renewed a lease
     */
    boolean leasesExpired(long nowMs) {
        boolean ownExpired = highestDeadlineMs == 0 || clockKnown && lowestClockMs(nowMs) > highestDeadlineMs;
        return ownExpired && nowMs > misdirectedUntilMs && (leasedSinceFenced || nowMs > inheritedUntilMs);
    }

    /**
     * Checks whether it may get tasks.
     *
     * @param nowMs the time on a monotonic clock
     * @return false also while it is quarantined
     */
    boolean usable(long nowMs) {
        return reachable(nowMs) && !health.quarantined(nowMs);
    }

    /**
     * Checks whether it may get a task that may fail any number of times although it is quarantined.
     *
     * @param nowMs the time on a monotonic clock
     * @return false if it was tried and has failed recently
     */
    boolean usableAsTrial(long nowMs) {
        return reachable(nowMs) && health.quarantined(nowMs) && health.mayBeTried(nowMs);
    }

    /**
     * Checks whether a task has to wait for another one, placed since the last failure, that is not at work or has not ended
     * yet. A lasting task does not wait for one that ends, or the other way round: the other may take long.
     *
     * @param step the step of the task
     * @param nowMs the time on a monotonic clock
     * @return false for a worker that is not on probation
     */
    boolean awaitsTrial(StepSpec step, long nowMs) {
        if (!health.onProbation(nowMs)) {
            return false;
        }
        for (ActiveRun run : runs.values()) {
            boolean trial = run.createdMs >= health.lastFailedMs() && run.atWorkSinceMs == 0;
            if (trial && run.step.lasting() == step.lasting()) {
                return true;
            }
        }
        return false;
    }

    private boolean reachable(long nowMs) {
        return info.isPresent()
                && announced
                && !incarnationEnded
                && !leaving
                && !replaced
                && !info.get().draining()
                && clockKnown
                && nowMs - lastContactMs < FRESH_MS
                && holdFailures == 0
                && nowMs >= avoidUntilMs
                && !(suspects > 0 && isolates());
    }

    /** Checks whether it runs a task that gets a worker to itself, because it is likely to crash it. */
    private boolean isolates() {
        for (ActiveRun run : runs.values()) {
            if (run.crashes >= CrashBlame.ISOLATED_CRASHES && run.aliveMs(lastContactMs) < CrashBlame.SUSPECT_MS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks whether the leader has to poll it.
     *
     * @param nowMs the time on a monotonic clock
     * @return true while it has runs or unacknowledged ends, or sends heartbeats but gets no tasks until it answers
     */
    boolean needsPoll(long nowMs) {
        // After failed polls, or a sign of another worker at its address, only the answer to a poll lets it get tasks
        // again.
        boolean returned = (holdFailures > 0 || replaced) && nowMs - lastContactMs < FRESH_MS;
        // While the commit of an end is pending, a poll would only return the same end again.
        return !incarnationEnded
                && info.isPresent()
                && pendingEnds.isEmpty()
                && (runCount() > 0 || highestEnd > acknowledgedEnd || returned);
    }
}
