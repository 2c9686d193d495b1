package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.log.Metrics;
import org.cornelcove.work.plan.HostView;
import org.cornelcove.work.plan.Placement;
import org.cornelcove.work.plan.Stragglers;
import org.cornelcove.work.state.Job;
import org.cornelcove.work.state.Task;
import org.cornelcove.work.state.Verdict;
import org.cornelcove.work.state.WorkCommand;

/**
 * Places waiting tasks: chooses a worker with {@link Placement}, commits the run, and then has it started. Used on the
 * leader's loop only.
 */
final class Placements {
    /**
     * How long fill work waits for a worker on which it would make progress, and a lasting task for one that is not left
     * open for short work, in a pool that is not busy; the platform allows three seconds.
     */
    private static final long MAX_IDLE_WAIT_MS = 1500;
    /** Share of reserved processor above which the platform lets tasks of a pool wait; half, and a margin. */
    private static final double BUSY_SHARE = 0.55;

    /** Largest share of the workers of a pool that are kept free for large waiting tasks. */
    private static final double MAX_HELD_SHARE = 0.03;

    /** How long a step waits before the reason is logged. */
    private static final long LOG_WAITING_AFTER_MS = 1000;
    /** Interval of these log lines, each for one step; each inspects all workers. */
    private static final long LOG_WAITING_INTERVAL_MS = 100;

    /** How long a failed search for a suitable worker for paused fill work is cached; about the interval of polls. */
    private static final long NO_MOVE_TARGET_CACHE_MS = 500;

    private final Term term;
    /** Run times of the completed tasks of steps that allow copies, by the step of one occurrence. */
    private final Map<String, List<Long>> doneMs = new HashMap<>();

    /** The steps of one occurrence for which a kept-free worker was logged. */
    private final Set<String> loggedHeld = new HashSet<>();

    private final PoolRooms rooms;
    private long lastWaitingLogMs;
    /** Fill work for which no suitable worker was found recently. */
    private NoRoom noMoveTarget = new NoRoom();

    private long noMoveTargetUntilMs;

    Placements(Term term) {
        this.term = term;
        rooms = new PoolRooms(term);
    }

    /** Checks whether paused fill work would make progress on another worker. */
    boolean hasMoveTarget(ActiveRun run, double maxCost) {
        long nowMs = term.clock.nowMs();
        if (nowMs >= noMoveTargetUntilMs) {
            noMoveTargetUntilMs = nowMs + NO_MOVE_TARGET_CACHE_MS;
            noMoveTarget = new NoRoom();
        }
        String pool = term.state.queueOf(run.job).pool();
        if (noMoveTarget.covers(pool, run.step, true)) {
            return false;
        }
        for (Worker worker : term.workers()) {
            if (worker != run.worker
                    && worker.usable(nowMs)
                    && worker.info.get().pool().equals(pool)
                    && worker.hasRoom(run.step)
                    && !worker.awaitsTrial(run.step, nowMs)
                    && term.calls.pace().cost(worker, run.step) < maxCost
                    && canTake(worker, run)) {
                return true;
            }
        }
        noMoveTarget.add(pool, run.step, true);
        return false;
    }

    /** Checks whether a worker passes all tests of a placement, so that a run is not stopped for a place it cannot use. */
    private boolean canTake(Worker worker, ActiveRun run) {
        HostView host = Candidates.view(term, worker, run.step, run.task, "");
        return Placement.isEligible(run.step, host, true);
    }

    void recordDone(ActiveRun run) {
        if (run.step.copies() && run.confirmedMs > 0) {
            doneMs.computeIfAbsent(stepName(run.task), any -> new ArrayList<>())
                    .add(term.clock.nowMs() - run.confirmedMs);
        }
    }

    void forget(String jobId) {
        doneMs.keySet().removeIf(step -> step.startsWith(jobId));
        loggedHeld.removeIf(step -> step.startsWith(jobId));
    }

    private static String stepName(TaskKey task) {
        return task.jobId() + '.' + task.occurrence() + '.' + task.step();
    }

    /** Starts a second run of tasks that take much longer than their siblings, where the step allows it. */
    void copyStragglers(Collection<Set<ActiveRun>> runsByJob, long nowMs) {
        List<ActiveRun> late = new ArrayList<>();
        for (Set<ActiveRun> runs : runsByJob) {
            for (ActiveRun run : runs) {
                if (run.step.copies()
                        && run.stage == ActiveRun.Stage.CONFIRMED
                        && !run.stopWanted
                        && isLate(run, nowMs)) {
                    late.add(run);
                }
            }
        }
        late.forEach(this::copy);
    }

    private boolean isLate(ActiveRun run, long nowMs) {
        long[] done = doneMs.getOrDefault(stepName(run.task), List.of()).stream()
                .mapToLong(ms -> ms)
                .toArray();
        return nowMs - run.confirmedMs > Stragglers.copyAfterMs(run.step.estimateMs(), done, run.step.count());
    }

    private void copy(ActiveRun late) {
        Task task = late.job.task(late.task).orElseThrow();
        if (task.done() || task.crashes() > 0 || task.runs().size() > 1 || task.lastRunId() != late.runId) {
            return;
        }
        if (term.ends.pending(late.task, late.runId + 1)) {
            // The start of an earlier copy was not appended; the end of that copy would end one under the same number.
            return;
        }
        String pool = term.state.queueOf(late.job).pool();
        long nowMs = term.clock.nowMs();
        List<Worker> others = term.workers().stream()
                .filter(w -> w != late.worker
                        && w.usable(nowMs)
                        && w.info.get().pool().equals(pool))
                .toList();
        choose(late.job, late.task, others).ifPresent(worker -> {
            EventLog.event("run.copy", "task", late.task.text(), "run", late.runId, "worker", late.worker.id);
            begin(late.job, late.task, late.runId + 1, worker);
        });
    }

    /** Places the waiting tasks, the most urgent first. */
    void place(List<Backlog.WaitingStep> steps, long nowMs) {
        if (steps.isEmpty()) {
            return;
        }
        Map<String, List<Worker>> usable = new HashMap<>();
        for (Worker worker : term.workers()) {
            if (worker.usable(nowMs)) {
                usable.computeIfAbsent(worker.info.get().pool(), any -> new ArrayList<>())
                        .add(worker);
            }
        }
        rooms.observe(steps, usable, nowMs);
        Map<String, Boolean> busy = new HashMap<>();
        NoRoom noRoom = new NoRoom();
        Map<String, Held> held = new HashMap<>();
        for (Backlog.WaitingStep step : steps) {
            if (step.job.phase().ended()) {
                step.indices.clear();
                continue;
            }
            String name = term.state.queueOf(step.job).pool();
            List<Worker> pool = usable.getOrDefault(name, List.of());
            if (step.spec().gang()) {
                placeGang(step, pool);
            } else {
                placeTasks(step, pool, name, busy.computeIfAbsent(name, any -> isBusy(pool)), noRoom);
                held.computeIfAbsent(name, any -> new Held(pool)).hold(step);
            }
        }
    }

    /**
     * The workers of a pool that are kept free in this pass, each for one step that found no worker. A held worker is
     * removed from the pool, so that less urgent steps cannot use it.
     */
    private final class Held {
        private final List<Worker> pool;
        private int left;

        Held(List<Worker> pool) {
            this.pool = pool;
            left = (int) (MAX_HELD_SHARE * pool.size());
        }

        /** Keeps a worker free for the next task of a step that still waits. */
        void hold(Backlog.WaitingStep step) {
            StepSpec spec = step.spec();
            if (left == 0 || step.indices.isEmpty() || spec.fill() || spec.lasting()) {
                return;
            }
            left--;
            TaskKey next = step.task(step.indices.peekFirst());
            List<Worker> able = pool.stream()
                    .filter(worker -> worker.willHaveRoom(spec) && !worker.awaitsTrial(spec, term.clock.nowMs()))
                    .toList();
            List<HostView> views = able.stream()
                    .map(worker -> Candidates.view(term, worker, spec, next, ""))
                    .toList();
            Placement.hold(spec, views).ifPresent(best -> {
                logHeld(step, next, able.get(best));
                pool.remove(able.get(best));
            });
        }
    }

    /** Counts each pass in which a worker is kept free, and logs the first one of each step. */
    private void logHeld(Backlog.WaitingStep step, TaskKey next, Worker worker) {
        Metrics.count("placement.held");
        if (loggedHeld.add(stepName(next))) {
            EventLog.event(
                    "worker.held",
                    "task",
                    next.text(),
                    "waitedMs",
                    term.clock.nowMs() - step.waitingSinceMs,
                    "cpuMillis",
                    step.spec().cpuMillis(),
                    "worker",
                    worker.id);
        }
    }

    /** Checks whether most of a pool is reserved, so that fill work may wait without a limit. */
    private static boolean isBusy(List<Worker> pool) {
        long used = 0;
        long held = 0;
        for (Worker worker : pool) {
            used += worker.cpuUsed;
            held += worker.info.orElseThrow().cpuMillis();
        }
        return used > BUSY_SHARE * held;
    }

    private void placeTasks(Backlog.WaitingStep step, List<Worker> pool, String poolName, boolean busy, NoRoom noRoom) {
        boolean canWait = busy || term.clock.nowMs() - step.waitingSinceMs < MAX_IDLE_WAIT_MS;
        Optional<Candidates> shared = Optional.empty();
        while (!step.indices.isEmpty()) {
            TaskKey key = step.task(step.indices.peekFirst());
            Task task = step.job.task(key).orElseThrow();
            if (task.done() || !task.runs().isEmpty()) {
                step.indices.removeFirst();
                continue;
            }
            // The platform counts a lasting task that ran before as lost while there is room for it anywhere.
            boolean restart = step.spec().lasting() && task.lastRunId() > 0;
            boolean patient = canWait && !restart;
            if (noRoom.covers(poolName, step.spec(), patient)) {
                return;
            }
            // Tasks of a step share candidates unless they failed before or have to run in the same rack.
            boolean suspect = isSuspect(step.job, key);
            boolean alike = task.failures() == 0 && !suspect && !step.spec().sameRack() && !restart;
            Candidates candidates = alike && shared.isPresent()
                    ? shared.get()
                    : new Candidates(
                            term, step.spec(), key, patient ? rooms.allowed(step.spec(), pool, poolName) : pool);
            if (alike) {
                shared = Optional.of(candidates);
            }
            Optional<Worker> usable = suspect ? candidates.safest(patient) : candidates.best(patient);
            Optional<Worker> worker = usable.or(() -> chooseAsTrial(step, key, poolName));
            if (worker.isEmpty()) {
                noRoom.add(poolName, step.spec(), patient);
                logWaiting(step, key, pool);
                return;
            }
            step.indices.removeFirst();
            begin(step.job, key, task.lastRunId() + 1, worker.get());
            shared.ifPresent(c -> c.refresh(worker.get(), key));
        }
    }

    /** Chooses a quarantined worker for a lasting task, whose failures are not counted and show whether it is sound again. */
    private Optional<Worker> chooseAsTrial(Backlog.WaitingStep step, TaskKey task, String pool) {
        if (!step.spec().lasting()) {
            return Optional.empty();
        }
        long nowMs = term.clock.nowMs();
        List<Worker> quarantined = term.workers().stream()
                .filter(worker ->
                        worker.usableAsTrial(nowMs) && worker.info.get().pool().equals(pool))
                .toList();
        return choose(step.job, task, quarantined);
    }

    private void logWaiting(Backlog.WaitingStep step, TaskKey next, List<Worker> pool) {
        long nowMs = term.clock.nowMs();
        boolean longEnough = nowMs - step.waitingSinceMs >= LOG_WAITING_AFTER_MS;
        if (!longEnough || nowMs - lastWaitingLogMs < LOG_WAITING_INTERVAL_MS) {
            return;
        }
        lastWaitingLogMs = nowMs;
        Placement.Refusals why = Placement.refusals(
                step.spec(),
                pool.stream()
                        .map(w -> Candidates.view(term, w, step.spec(), next, ""))
                        .toList());
        EventLog.event(
                "step.waits",
                "task",
                next.text(),
                "tasks",
                step.indices.size(),
                "waitedMs",
                nowMs - step.waitingSinceMs,
                "image",
                step.spec().image(),
                "workers",
                pool.size(),
                "mismatch",
                why.mismatch(),
                "noProcessor",
                why.noProcessor(),
                "noMemory",
                why.noMemory(),
                "disturbed",
                why.disturbed(),
                "crowded",
                why.crowded(),
                "leastDisturbance",
                why.leastDisturbance().isPresent() ? why.leastDisturbance().getAsDouble() : "");
    }

    private void placeGang(Backlog.WaitingStep step, List<Worker> pool) {
        int size = step.spec().count();
        if (step.indices.size() < size) {
            return;
        }
        List<ActiveRun> members = new ArrayList<>();
        int runId = 0;
        for (int index = 0; index < size; index++) {
            runId = Math.max(
                    runId, step.job.task(step.task(index)).orElseThrow().lastRunId());
        }
        for (int index = 0; index < size; index++) {
            Optional<Worker> worker = choose(step.job, step.task(index), pool);
            if (worker.isEmpty()) {
                members.forEach(term::untrack);
                return;
            }
            ActiveRun run = new ActiveRun(
                    step.job,
                    step.task(index),
                    runId + 1,
                    worker.get(),
                    ActiveRun.Stage.COMMITTING,
                    term.clock.nowMs());
            term.track(run);
            members.add(run);
        }
        step.indices.clear();
        members.forEach(this::commitStart);
    }

    private Optional<Worker> choose(Job job, TaskKey task, List<Worker> pool) {
        Candidates candidates = new Candidates(term, job.spec().steps().get(task.step()), task, pool);
        return isSuspect(job, task) ? candidates.safest(false) : candidates.best(false);
    }

    /** Checks whether a task was blamed for the crash of a worker. */
    private static boolean isSuspect(Job job, TaskKey task) {
        return job.task(task).orElseThrow().crashes() > 0;
    }

    private void begin(Job job, TaskKey task, int runId, Worker worker) {
        ActiveRun run = new ActiveRun(job, task, runId, worker, ActiveRun.Stage.COMMITTING, term.clock.nowMs());
        term.track(run);
        commitStart(run);
    }

    private void commitStart(ActiveRun run) {
        WorkCommand start = new WorkCommand.Start(
                run.task, run.runId, run.worker.id, run.worker.processStartMs, term.clock.wallMs());
        term.proposals.add(start, result -> {
            if (term.over()) {
                return;
            }
            if (result.is(Verdict.DONE)) {
                EventLog.event(
                        "run.begin",
                        "task",
                        run.task.text(),
                        "run",
                        run.runId,
                        "worker",
                        run.worker.id,
                        "heardMsAgo",
                        term.clock.nowMs() - run.worker.lastContactMs,
                        "waitedMs",
                        term.clock.nowMs() - run.createdMs);
                Metrics.recordLatency(
                        "start." + term.state.queueOf(run.job).name(), term.clock.wallMs() - run.job.submittedMs());
                term.calls.start(run);
            } else if (!run.endProposed) {
                // Otherwise the end may follow the next start in the log, which has the same number if this one was not
                // appended.
                EventLog.event("run.refused", "task", run.task.text(), "run", run.runId, "result", result);
                term.untrack(run);
                term.requeue(run);
                if (result.notAppended()) {
                    term.placeLater();
                }
            }
        });
    }
}
