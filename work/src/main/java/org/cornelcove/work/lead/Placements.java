package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
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
 * Carries out placements: asks {@link Placement} where a task goes, commits its run, and lets the conversation start it.
 * Used on the leader's loop only.
 */
final class Placements {
    /** How long fill work waits for a worker on which it runs freely, below the platform's three seconds. */
    private static final long PATIENCE_MS = 1500;
    /** The share of a pool's processor above which the platform lets tasks wait; half, and a margin. */
    private static final double BUSY_SHARE = 0.55;

    /** The share of a pool that may be kept free for tasks which wait for room in one piece. */
    private static final double MAX_HELD_SHARE = 0.03;

    /** How long a step waits before the log may tell why. */
    private static final long TELL_WAITING_AFTER_MS = 1000;
    /** How often that is told, of one step each time; it costs a look at all workers. */
    private static final long TELL_WAITING_EVERY_MS = 100;

    /** How long it is believed that there is no calm place for some fill work; as long as a look takes to show one. */
    private static final long CALM_PLACE_EVERY_MS = 500;

    private final Term term;
    /** How long the done tasks of steps that may run in copies took, by the step of one occurrence. */
    private final Map<String, List<Long>> doneMs = new HashMap<>();

    /** The steps of one occurrence of which the log told that a worker is kept free for them. */
    private final Set<String> toldHeld = new HashSet<>();

    private long toldWaitingMs;
    /** Fill work that found no calm place of late. */
    private NoRoom noCalmPlace = new NoRoom();

    private long noCalmPlaceUntilMs;

    Placements(Term term) {
        this.term = term;
    }

    /** Tells whether fill work that stands still would run freely on another worker. */
    boolean hasCalmPlace(ActiveRun run, double maxCost) {
        long nowMs = term.clock.nowMs();
        if (nowMs >= noCalmPlaceUntilMs) {
            noCalmPlaceUntilMs = nowMs + CALM_PLACE_EVERY_MS;
            noCalmPlace = new NoRoom();
        }
        String pool = term.state.queueOf(run.job).pool();
        if (noCalmPlace.covers(pool, run.step, true)) {
            return false;
        }
        for (Worker worker : term.workers()) {
            if (worker != run.worker
                    && worker.usable(nowMs)
                    && worker.info.get().pool().equals(pool)
                    && worker.hasRoom(run.step)
                    && term.conversation.pace().cost(worker, run.step) < maxCost
                    && canTake(worker, run)) {
                return true;
            }
        }
        noCalmPlace.add(pool, run.step, true);
        return false;
    }

    /** Work that finds a place taken once it was stopped for the sake of it has lost the place that it had. */
    private boolean canTake(Worker worker, ActiveRun run) {
        HostView host = view(worker, run.step, run.task, "");
        return Placement.fits(run.step, host) && Placement.canProgress(run.step, host);
    }

    void noteDone(ActiveRun run) {
        if (run.step.copies() && run.confirmedMs > 0) {
            doneMs.computeIfAbsent(stepName(run.task), any -> new ArrayList<>())
                    .add(term.clock.nowMs() - run.confirmedMs);
        }
    }

    void forget(String jobId) {
        doneMs.keySet().removeIf(step -> step.startsWith(jobId));
        toldHeld.removeIf(step -> step.startsWith(jobId));
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
        if (task.done() || task.runs().size() > 1 || task.lastRunId() != late.runId) {
            return;
        }
        String pool = term.state.queueOf(late.job).pool();
        long nowMs = term.clock.nowMs();
        List<Worker> others = term.workers().stream()
                .filter(w -> w != late.worker
                        && w.usable(nowMs)
                        && w.info.get().pool().equals(pool))
                .toList();
        choose(late.step, late.task, others, false).ifPresent(worker -> {
            EventLog.event("run.copy", "task", late.task.text(), "run", late.runId, "worker", late.worker.id);
            begin(late.job, late.task, late.runId + 1, worker);
        });
    }

    /** Gives room to the tasks that wait, the most urgent first. */
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
     * The workers of a pool that are kept free in this pass, each for one step that found none. A held worker leaves the
     * pool, so that what is less urgent does not see it.
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
            List<Worker> able =
                    pool.stream().filter(worker -> worker.willHaveRoom(spec)).toList();
            List<HostView> views =
                    able.stream().map(worker -> view(worker, spec, next, "")).toList();
            Placement.hold(spec, views).ifPresent(best -> {
                tellHeld(step, next, able.get(best));
                pool.remove(able.get(best));
            });
        }
    }

    /** Counts each pass in which a worker is kept free, and tells the first one of each step. */
    private void tellHeld(Backlog.WaitingStep step, TaskKey next, Worker worker) {
        Metrics.count("placement.held");
        if (toldHeld.add(stepName(next))) {
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

    /** Tells whether most of a pool is reserved, so that fill work may wait as long as it takes. */
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
        boolean patient = busy || term.clock.nowMs() - step.waitingSinceMs < PATIENCE_MS;
        Optional<Candidates> shared = Optional.empty();
        while (!step.indices.isEmpty()) {
            TaskKey key = step.task(step.indices.peekFirst());
            Task task = step.job.task(key).orElseThrow();
            if (task.done() || !task.runs().isEmpty()) {
                step.indices.removeFirst();
                continue;
            }
            if (noRoom.covers(poolName, step.spec(), patient)) {
                return;
            }
            // Only tasks that failed before, or have to stand together, see workers differently than their siblings.
            boolean alike = task.failures() == 0 && !step.spec().sameRack();
            Candidates candidates = alike && shared.isPresent() ? shared.get() : new Candidates(step.spec(), key, pool);
            if (alike) {
                shared = Optional.of(candidates);
            }
            Optional<Worker> worker = candidates.best(patient);
            if (worker.isEmpty()) {
                noRoom.add(poolName, step.spec(), patient);
                tellWaiting(step, key, pool);
                return;
            }
            step.indices.removeFirst();
            begin(step.job, key, task.lastRunId() + 1, worker.get());
            shared.ifPresent(c -> c.refresh(worker.get(), key));
        }
    }

    /** The workers that have room for tasks of a step, as such a task sees them. */
    private final class Candidates {
        private final StepSpec step;
        private final List<Worker> workers = new ArrayList<>();
        private final List<HostView> views = new ArrayList<>();

        Candidates(StepSpec step, TaskKey task, List<Worker> pool) {
            this.step = step;
            String rack = step.sameRack() ? rackOfStep(task) : "";
            for (Worker worker : pool) {
                if (worker.hasRoom(step)) {
                    workers.add(worker);
                    views.add(view(worker, step, task, rack));
                }
            }
        }

        Optional<Worker> best(boolean patient) {
            OptionalInt best = Placement.choose(step, views, patient);
            return best.isPresent() ? Optional.of(workers.get(best.getAsInt())) : Optional.empty();
        }

        void refresh(Worker worker, TaskKey task) {
            int place = workers.indexOf(worker);
            if (place >= 0) {
                views.set(place, view(worker, step, task, ""));
            }
        }
    }

    private void tellWaiting(Backlog.WaitingStep step, TaskKey next, List<Worker> pool) {
        long nowMs = term.clock.nowMs();
        boolean longEnough = nowMs - step.waitingSinceMs >= TELL_WAITING_AFTER_MS;
        if (!longEnough || nowMs - toldWaitingMs < TELL_WAITING_EVERY_MS) {
            return;
        }
        toldWaitingMs = nowMs;
        Placement.Refusals why = Placement.refusals(
                step.spec(),
                pool.stream().map(w -> view(w, step.spec(), next, "")).toList());
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
            Optional<Worker> worker = choose(step.spec(), step.task(index), pool, false);
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

    private Optional<Worker> choose(StepSpec step, TaskKey task, List<Worker> pool, boolean patient) {
        return new Candidates(step, task, pool).best(patient);
    }

    private String rackOfStep(TaskKey task) {
        for (ActiveRun run : term.runsOf(task.jobId())) {
            if (run.sameStep(task) && run.worker.info.isPresent()) {
                return run.worker.info.get().rack();
            }
        }
        return "";
    }

    private HostView view(Worker worker, StepSpec step, TaskKey task, String rackOfStep) {
        WorkerInfo info = worker.info.orElseThrow();
        return new HostView(
                info.cpuMillis() - worker.cpuUsed,
                info.memoryMb() - worker.memoryUsed,
                info.accelerators() - worker.acceleratorsUsed,
                info.cpuMillis(),
                step.requiredLabel().isEmpty() || info.labels().contains(step.requiredLabel()),
                step.dataRack().isEmpty() || info.labels().contains(step.dataRack()),
                rackOfStep.isEmpty() || rackOfStep.equals(info.rack()),
                worker.runsOfStep(task),
                worker.serving,
                step.lasting() ? term.conversation.pace().sensitivityDifference(worker, step) : 0,
                step.fill() ? term.conversation.pace().fillTolerance(worker) : 0,
                worker.fillCpu,
                worker.servingCpu,
                step.fill() ? term.conversation.pace().cost(worker, step) : 0,
                worker.failedTask(task),
                worker.health.failurePenalty());
    }

    private void begin(Job job, TaskKey task, int runId, Worker worker) {
        ActiveRun run = new ActiveRun(job, task, runId, worker, ActiveRun.Stage.COMMITTING, term.clock.nowMs());
        term.track(run);
        commitStart(run);
    }

    private void commitStart(ActiveRun run) {
        WorkCommand start =
                new WorkCommand.Start(run.task, run.runId, run.worker.id, run.worker.bornMs, term.clock.wallMs());
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
                        term.clock.nowMs() - run.worker.heardMs,
                        "waitedMs",
                        term.clock.nowMs() - run.createdMs);
                Metrics.took(
                        "start." + term.state.queueOf(run.job).name(), term.clock.wallMs() - run.job.submittedMs());
                term.conversation.start(run);
            } else {
                EventLog.event("run.refused", "task", run.task.text(), "run", run.runId, "result", result);
                term.untrack(run);
                term.requeue(run);
            }
        });
    }
}
