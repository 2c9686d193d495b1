package org.cornelcove.work.lead;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.log.Metrics;
import org.cornelcove.work.state.Job;
import org.cornelcove.work.state.Occurrence;
import org.cornelcove.work.state.Run;
import org.cornelcove.work.state.Task;
import org.cornelcove.work.state.WorkCommand;
import org.cornelcove.work.state.WorkState;

/**
 * The volatile state of one leadership term: waiting tasks, live workers and active runs. It is discarded at the end of
 * the term; the next term rebuilds it from the durable state and from reports of workers. Used on the leader's loop only.
 *
 * <p>Invariant: a run is in the durable state before its worker receives it, and stays there until the worker reports its
 * end, its lease expires, or the incarnation of the worker ends. So no task gets a second run beside the first.
 */
final class Term {
    /** How long a deposed leader may still renew leases: its election timeout plus a margin for one call. */
    private static final long DEPOSED_LEADER_MS = 1300;
    /** Lowest rate of a worker's clock relative to the leader's, by which the length of a lease is divided. */
    private static final double MIN_CLOCK_RATE = 0.97;

    /** Minimum time between two placement passes, since ends arrive in bursts. */
    private static final long MIN_PLACE_INTERVAL_MS = 8;
    /** Interval between placement passes as a multiple of their duration, so that a backlog delays no leases or answers. */
    private static final long PLACE_INTERVAL_FACTOR = 4;
    /** Pause before a command is proposed again that the log did not take. */
    private static final long PROPOSE_AGAIN_MS = 100;

    final long fence;
    final LeadSettings settings;
    final WorkState state;
    final Proposals proposals;
    final LoopClock clock;
    final WorkerCalls calls;
    final RunEnds ends = new RunEnds(this);
    final Incarnations incarnations = new Incarnations(this);
    private final Placements placements;
    private final Departures departures = new Departures(this);
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, Set<ActiveRun>> runsByJob = new HashMap<>();
    private final Map<String, Integer> nextOccurrence = new LinkedHashMap<>();
    private final Backlog backlog = new Backlog();
    private final ServedJobs served = new ServedJobs();

    private final long gainedMs;
    private boolean placementDue = true;
    private long placeAgainMs;
    private boolean over;

    Term(
            long fence,
            LeadSettings settings,
            WorkState state,
            Proposals proposals,
            WorkerDriver driver,
            LoopClock clock) {
        this.fence = fence;
        this.settings = settings;
        this.state = state;
        this.proposals = proposals;
        this.clock = clock;
        this.gainedMs = clock.nowMs();
        this.calls = new WorkerCalls(this, new ConfinedDriver(driver));
        this.placements = new Placements(this);
        synchronized (state) {
            state.workers().values().forEach(this::remember);
            state.jobs().values().stream().filter(job -> !job.phase().ended()).forEach(this::takeOver);
            state.jobs().values().stream().filter(job -> job.phase().ended()).forEach(this::inheritRuns);
        }
    }

    /** Ends the term; later answers have no effect. */
    void end() {
        over = true;
    }

    boolean over() {
        return over;
    }

    Collection<Worker> workers() {
        return workers.values();
    }

    Optional<Worker> worker(String id) {
        return Optional.ofNullable(workers.get(id));
    }

    /** Makes a worker the current incarnation under its id. */
    void put(Worker worker) {
        workers.put(worker.id, worker);
    }

    Departures departures() {
        return departures;
    }

    private void takeOver(Job job) {
        inheritRuns(job);
        openJob(job);
    }

    private void inheritRuns(Job job) {
        job.occurrences().forEach((number, occurrence) -> {
            for (int step = 0; step < job.spec().steps().size(); step++) {
                Task[] tasks = occurrence.step(step);
                for (int index = 0; index < tasks.length; index++) {
                    TaskKey key = new TaskKey(job.spec().id(), number, step, index);
                    tasks[index].runs().forEach(run -> inherit(job, key, run));
                }
            }
        });
    }

    /** Adds a worker that an earlier leader knew; it can be polled, but gets no tasks until it has answered. */
    private void remember(WorkerInfo info) {
        Worker worker = new Worker(info.id(), info.processStartMs());
        worker.info = Optional.of(info);
        inheritLeases(worker);
        workers.put(info.id(), worker);
    }

    /** Records the leases of earlier leaders, some of which may have been meant for an earlier incarnation. */
    private void inheritLeases(Worker worker) {
        worker.inheritedUntilMs = leaseEndMs(gainedMs, settings.leaseMs());
        worker.misdirectedUntilMs = leaseEndMs(gainedMs, settings.maxLeaseMs());
        worker.grantedMs = gainedMs;
    }

    /** Returns when the last lease expires that is granted by an order of a leader which had to stop calling at a time. */
    static long leaseEndMs(long atMs, long leaseMs) {
        return atMs + DEPOSED_LEADER_MS + (long) (leaseMs / MIN_CLOCK_RATE);
    }

    /** Adds a run of an earlier leader; its order may have reached another incarnation of the worker than the recorded one. */
    private void inherit(Job job, TaskKey task, Run run) {
        Worker worker = workers.get(run.worker());
        if (worker == null) {
            worker = new Worker(run.worker(), run.workerStartMs());
            inheritLeases(worker);
            workers.put(run.worker(), worker);
        }
        ActiveRun active = new ActiveRun(job, task, run.runId(), worker, ActiveRun.Stage.INHERITED, gainedMs);
        active.stopWanted = job.phase().ended();
        // The worker had it, at the latest, soon after the start was committed.
        active.recordRunning(gainedMs - Math.max(0, clock.wallMs() - run.startedMs()));
        track(active);
    }

    Set<ActiveRun> runsOf(String jobId) {
        return runsByJob.getOrDefault(jobId, Set.of());
    }

    void track(ActiveRun run) {
        run.worker.add(run);
        runsByJob.computeIfAbsent(run.task.jobId(), any -> new HashSet<>()).add(run);
    }

    void untrack(ActiveRun run) {
        run.worker.remove(run);
        placementDue = true;
        Set<ActiveRun> runs = runsByJob.get(run.task.jobId());
        if (runs != null && runs.remove(run) && runs.isEmpty()) {
            runsByJob.remove(run.task.jobId());
        }
    }

    // Commands

    /**
     * Proposes a command that records what has happened. While the term lasts it is proposed again if it was not appended,
     * as during a transfer of leadership that fails.
     *
     * @param command the command
     * @param stillTrue whether the command still has to be in the log; checked before each further attempt
     * @param listener receives the outcome of the last attempt
     */
    void record(WorkCommand command, BooleanSupplier stillTrue, Consumer<Proposals.Result> listener) {
        proposals.add(command, result -> {
            if (over || !result.notAppended() || !stillTrue.getAsBoolean()) {
                listener.accept(result);
                return;
            }
            Metrics.count("proposal.again");
            clock.later(PROPOSE_AGAIN_MS, () -> {
                if (!over && stillTrue.getAsBoolean()) {
                    record(command, stillTrue, listener);
                }
            });
        });
    }

    /** Delays the next placement after the log did not take a start. */
    void placeLater() {
        placeAgainMs = Math.max(placeAgainMs, clock.nowMs() + PROPOSE_AGAIN_MS);
    }

    // Jobs

    /**
     * Adds an accepted job to the backlog.
     *
     * @param job the job
     */
    void openJob(Job job) {
        if (job.phase().ended()) {
            return;
        }
        served.accepted(job, state.queueOf(job));
        if (job.spec().schedule().repeatCount() == 0) {
            backlog.open(job, 0, state.queueOf(job), clock.nowMs());
        } else {
            nextOccurrence.putIfAbsent(job.spec().id(), 0);
        }
        placementDue = true;
    }

    private void openDueOccurrences() {
        long wallMs = clock.wallMs();
        nextOccurrence.entrySet().removeIf(entry -> {
            Optional<Job> job = state.job(entry.getKey()).filter(j -> !j.phase().ended());
            if (job.isEmpty()) {
                return true;
            }
            int next = entry.getValue();
            while (next < job.get().spec().schedule().occurrences()
                    && job.get().spec().schedule().dueMs(next) <= wallMs) {
                backlog.open(job.get(), next++, state.queueOf(job.get()), clock.nowMs());
                placementDue = true;
            }
            entry.setValue(next);
            return next >= job.get().spec().schedule().occurrences();
        });
    }

    /** Stops the other active runs of a job that a run has ended. */
    void jobEnded(ActiveRun run) {
        served.ended(run.job, run.task.text());
        jobEnded(run.task.jobId());
    }

    /**
     * Stops the active runs of an ended job.
     *
     * @param jobId the job
     */
    void jobEnded(String jobId) {
        state.job(jobId).ifPresent(job -> served.ended(job, ""));
        backlog.drop(jobId);
        placements.forget(jobId);
        List.copyOf(runsByJob.getOrDefault(jobId, Set.of())).forEach(calls::requestStop);
    }

    /**
     * Updates the backlog after the end of a run was committed.
     *
     * @param run the run
     * @param how how the run ended
     */
    void endCommitted(ActiveRun run, RunEnd how) {
        if (over) {
            return;
        }
        Job job = run.job;
        placementDue = true;
        if (how == RunEnd.DONE) {
            placements.recordDone(run);
        }
        if (job.phase().ended()) {
            jobEnded(run);
            return;
        }
        Occurrence occurrence = job.occurrence(run.task.occurrence());
        Task task = occurrence.step(run.task.step())[run.task.index()];
        if (task.done()) {
            stopCopies(run);
            if (occurrence.stepDone(run.task.step())) {
                backlog.open(job, run.task.occurrence(), state.queueOf(job), clock.nowMs());
            }
        } else if (task.runs().isEmpty()) {
            backlog.add(job, run.task, state.queueOf(job), clock.nowMs());
            if (run.step.gang()) {
                stopRestOfGang(run);
            }
        }
    }

    /** Stops the other members of a gang, which runs as a whole or not at all: a part of it would make no progress. */
    private void stopRestOfGang(ActiveRun ended) {
        for (ActiveRun other : List.copyOf(runsOf(ended.task.jobId()))) {
            if (other.sameStep(ended.task) && other.runId == ended.runId) {
                calls.requestStop(other);
            }
        }
    }

    private void stopCopies(ActiveRun ended) {
        for (ActiveRun other : List.copyOf(runsByJob.getOrDefault(ended.task.jobId(), Set.of()))) {
            if (other.task.equals(ended.task) && other != ended) {
                calls.requestStop(other);
            }
        }
    }

    // Workers

    /**
     * Handles a heartbeat. One of a pool that the rules do not define names no worker to use, and so tells nothing about the
     * worker whose id or address it has.
     *
     * @param info the state that the worker reports
     */
    void announce(WorkerInfo info) {
        if (!state.rules().definesPool(info.pool())) {
            return;
        }
        long nowMs = clock.nowMs();
        Worker worker = workers.get(info.id());
        if (worker != null
                && (info.processStartMs() < worker.processStartMs
                        || worker.incarnationEnded && info.processStartMs() == worker.processStartMs)) {
            return;
        }
        for (Worker other : List.copyOf(workers.values())) {
            boolean sameAddress = other.info.isPresent()
                    && other != worker
                    && !other.incarnationEnded
                    && other.info.get().address().equals(info.address());
            if (sameAddress && other.processStartMs > info.processStartMs()) {
                return;
            } else if (sameAddress) {
                incarnations.replaced(other, "another worker took its address");
            }
        }
        if (worker == null) {
            worker = incarnations.register(info);
        } else if (info.processStartMs() > worker.processStartMs) {
            worker = incarnations.restarted(worker, info);
        }
        boolean newer =
                worker.info.isEmpty() || info.sequence() > worker.info.get().sequence();
        if (newer) {
            boolean drains =
                    info.draining() && worker.info.filter(WorkerInfo::draining).isEmpty();
            worker.info = Optional.of(info);
            worker.announced = true;
            worker.recordContact(nowMs, OptionalLong.of(info.clockMs()));
            departures.recordHeartbeat(worker, info, nowMs);
            placementDue = true;
            if (drains) {
                EventLog.event(
                        "worker.drains",
                        "worker",
                        info.id(),
                        "remainingMs",
                        info.remainingMs().isPresent() ? info.remainingMs().getAsLong() : "",
                        "runs",
                        worker.runCount());
                calls.evacuate(worker);
            }
        }
    }

    // The loop

    /** Does the periodic work: due occurrences, polls, copies and cleanup. */
    void tick() {
        long nowMs = clock.nowMs();
        FaultBarrier.run("due occurrences", this::openDueOccurrences);
        for (Worker worker : List.copyOf(workers.values())) {
            FaultBarrier.run("poll of a worker", () -> calls.poll(worker, nowMs));
            departures.tick(worker, nowMs);
        }
        placementDue = true;
        FaultBarrier.run("copies", () -> placements.copyStragglers(runsByJob.values(), nowMs));
        FaultBarrier.run("interference", () -> calls.pace().storeInterference(nowMs));
        FaultBarrier.run("served jobs", () -> served.summarize(nowMs));
        FaultBarrier.run("old jobs", this::forgetOldJobs);
    }

    private void forgetOldJobs() {
        long beforeMs = clock.wallMs() - settings.forgetMs();
        synchronized (state) {
            for (Job job : state.jobs().values()) {
                if (job.phase().ended()
                        && job.endedMs() < beforeMs
                        && !runsByJob.containsKey(job.spec().id())) {
                    proposals.add(new WorkCommand.RemoveJob(job.spec().id()), result -> {});
                    return;
                }
            }
        }
    }

    /** Places waiting tasks if that is due, and proposes the collected commands. */
    void settle() {
        long nowMs = clock.nowMs();
        if (placementDue && nowMs >= placeAgainMs && clock.leased()) {
            placementDue = false;
            FaultBarrier.run("placement", () -> placements.place(backlog.inOrder(clock.wallMs(), nowMs), nowMs));
            long tookMs = clock.nowMs() - nowMs;
            placeAgainMs = nowMs + Math.max(MIN_PLACE_INTERVAL_MS, PLACE_INTERVAL_FACTOR * tookMs);
            Metrics.recordLatency("place", tookMs);
        }
        proposals.flush();
    }

    /** Returns a task whose start was refused to the backlog if it still has to run. */
    void requeue(ActiveRun run) {
        Task task = run.job.task(run.task).orElseThrow();
        if (!run.job.phase().ended() && !task.done() && task.runs().isEmpty()) {
            backlog.add(run.job, run.task, state.queueOf(run.job), clock.nowMs());
        }
    }

    Placements placements() {
        return placements;
    }

    /**
     * Counts the jobs of a queue that have not started.
     *
     * @param queue the queue as defined by the rules
     * @return the number of its jobs in phase {@link JobPhase#QUEUED}
     */
    long pending(QueueRule queue) {
        synchronized (state) {
            return state.jobs().values().stream()
                    .filter(job -> job.phase() == JobPhase.QUEUED
                            && job.spec().host().equalsIgnoreCase(queue.host())
                            && job.spec().pathPrefix().equals(queue.pathPrefix()))
                    .count();
        }
    }
}
