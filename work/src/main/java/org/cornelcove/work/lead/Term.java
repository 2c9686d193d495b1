package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

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
 * One leadership: which tasks wait, which workers live, what runs where. Thrown away with the leadership; the next one
 * is built from the durable state and from what workers say. Used on the leader's loop only.
 *
 * <p>Invariant: a run is in the durable state before its worker hears of it, and stays there until its end is shown by
 * the worker, or its lease is over, or the life of its worker is. So no task gets a second run beside the first.
 */
final class Term {
    /** How long a deposed leader may still have renewed leases: its election timeout, and a margin for one call. */
    private static final long DEPOSED_MS = 1300;
    /** How much slower a worker's clock may run, as a divisor of a lease's length. */
    private static final double SLOWEST_CLOCK = 0.97;

    /** The least time between two passes over all that waits; ends come in bursts. */
    private static final long PLACE_EVERY_MS = 8;
    /** Passes take at most one part in so many of the loop, so that answers and leases don't wait behind a backlog. */
    private static final long PLACE_PART = 4;
    /** From a worker's farewell, which it waits to be acknowledged, until it has surely ended. */
    private static final long LEAVE_MS = 400;

    final long fence;
    final LeadSettings settings;
    final WorkState state;
    final Proposals proposals;
    final LoopClock clock;
    final Conversation conversation;
    private final Placements placements;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<String, Set<ActiveRun>> runsByJob = new HashMap<>();
    private final Map<String, Integer> nextOccurrence = new LinkedHashMap<>();
    private final Backlog backlog = new Backlog();

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
        this.conversation = new Conversation(this, driver);
        this.placements = new Placements(this);
        synchronized (state) {
            state.workers().values().forEach(this::remember);
            state.jobs().values().stream().filter(job -> !job.phase().ended()).forEach(this::takeOver);
            state.jobs().values().stream().filter(job -> job.phase().ended()).forEach(this::inheritRuns);
        }
    }

    /** Ends the leadership; answers that come later change nothing. */
    void end() {
        over = true;
    }

    boolean over() {
        return over;
    }

    Collection<Worker> workers() {
        return workers.values();
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

    /** Knows a worker that an earlier leader heard: it can be called, and gets nothing until it has answered. */
    private void remember(WorkerInfo info) {
        Worker worker = new Worker(info.id(), info.bornMs());
        worker.info = Optional.of(info);
        worker.inheritedUntilMs = inheritedUntilMs();
        workers.put(info.id(), worker);
    }

    private long inheritedUntilMs() {
        return gainedMs + DEPOSED_MS + (long) (settings.leaseMs() / SLOWEST_CLOCK);
    }

    private void inherit(Job job, TaskKey task, Run run) {
        Worker worker = workers.get(run.worker());
        if (worker == null || worker.bornMs < run.born()) {
            worker = new Worker(run.worker(), run.born());
            worker.inheritedUntilMs = inheritedUntilMs();
            workers.put(run.worker(), worker);
        }
        ActiveRun active = new ActiveRun(job, task, run.runId(), worker, ActiveRun.Stage.INHERITED, gainedMs);
        active.stopWanted = job.phase().ended();
        if (worker.bornMs == run.born()) {
            track(active);
        } else {
            // The worker has begun another life since, so this run is gone.
            runsByJob.computeIfAbsent(task.jobId(), any -> new HashSet<>()).add(active);
            conversation.proposeEnd(active, RunEnd.LOST, "", "worker began another life");
        }
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

    // Jobs

    /**
     * Takes an accepted job into the backlog.
     *
     * @param job the job
     */
    void openJob(Job job) {
        if (job.phase().ended()) {
            return;
        }
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

    /**
     * Stops all that still runs of an ended job.
     *
     * @param jobId the job
     */
    void jobEnded(String jobId) {
        backlog.drop(jobId);
        placements.forget(jobId);
        List.copyOf(runsByJob.getOrDefault(jobId, Set.of())).forEach(conversation::wantStop);
    }

    /**
     * Brings the backlog up to date after an end was committed.
     *
     * @param run the run
     * @param how the how
     */
    void endCommitted(ActiveRun run, RunEnd how) {
        if (over) {
            return;
        }
        Job job = run.job;
        placementDue = true;
        if (how == RunEnd.DONE) {
            placements.noteDone(run);
        }
        if (job.phase().ended()) {
            EventLog.event("job.ended", "job", run.task.jobId(), "phase", job.phase(), "task", run.task.text());
            jobEnded(run.task.jobId());
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

    /** The members of a gang begin together or not at all; one alone would hold its room and do nothing. */
    private void stopRestOfGang(ActiveRun ended) {
        for (ActiveRun other : List.copyOf(runsOf(ended.task.jobId()))) {
            if (other.sameStep(ended.task) && other.runId == ended.runId) {
                conversation.wantStop(other);
            }
        }
    }

    private void stopCopies(ActiveRun ended) {
        for (ActiveRun other : List.copyOf(runsByJob.getOrDefault(ended.task.jobId(), Set.of()))) {
            if (other.task.equals(ended.task) && other != ended) {
                conversation.wantStop(other);
            }
        }
    }

    // Workers

    /**
     * Takes a heartbeat.
     *
     * @param info what it says of itself
     */
    void announce(WorkerInfo info) {
        long nowMs = clock.nowMs();
        Worker worker = workers.get(info.id());
        if (worker != null && (info.bornMs() < worker.bornMs || worker.gone && info.bornMs() == worker.bornMs)) {
            return;
        }
        for (Worker other : List.copyOf(workers.values())) {
            boolean sameAddress = other.info.isPresent()
                    && other != worker
                    && !other.gone
                    && other.info.get().address().equals(info.address());
            if (sameAddress && other.bornMs > info.bornMs()) {
                return;
            } else if (sameAddress) {
                lifeOver(other, "another worker took its address");
            }
        }
        if (worker != null && info.bornMs() > worker.bornMs) {
            lifeOver(worker, "it began another life");
            worker = null;
        }
        if (worker == null) {
            worker = new Worker(info.id(), info.bornMs());
            workers.put(info.id(), worker);
            proposals.add(new WorkCommand.Hello(info), result -> {});
            EventLog.event("worker.new", "worker", info.id(), "born", info.bornMs(), "address", info.address());
        }
        boolean newer =
                worker.info.isEmpty() || info.sequence() > worker.info.get().sequence();
        if (newer) {
            boolean drains =
                    info.draining() && worker.info.filter(WorkerInfo::draining).isEmpty();
            worker.info = Optional.of(info);
            worker.announced = true;
            worker.heard(nowMs, OptionalLong.of(info.clockMs()));
            placementDue = true;
            if (drains) {
                EventLog.event(
                        "worker.drains",
                        "worker",
                        info.id(),
                        "remainingMs",
                        info.remainingMs(),
                        "runs",
                        worker.runCount());
                conversation.evacuate(worker);
            }
        }
    }

    /**
     * Takes a worker's own word that it ends now.
     *
     * @param id the identifier
     */
    void leave(String id) {
        Worker worker = workers.get(id);
        if (worker != null && !worker.gone) {
            worker.leaving = true;
            clock.later(LEAVE_MS, () -> lifeOver(worker, "it left"));
        }
    }

    /**
     * Ends a life: whatever it was told, nothing of it runs any more.
     *
     * @param worker the worker
     * @param why what is told in the log
     */
    void lifeOver(Worker worker, String why) {
        if (worker.gone) {
            return;
        }
        worker.gone = true;
        proposals.add(new WorkCommand.Farewell(worker.id, worker.bornMs), result -> {});
        EventLog.event(
                "worker.gone", "worker", worker.id, "born", worker.bornMs, "runs", worker.runCount(), "why", why);
        List<ActiveRun> lost = new ArrayList<>();
        worker.runs().forEach(lost::add);
        lost.forEach(run -> conversation.proposeEnd(run, RunEnd.LOST, "", why));
    }

    // The loop

    /** Looks at what time brings. */
    void tick() {
        long nowMs = clock.nowMs();
        openDueOccurrences();
        for (Worker worker : List.copyOf(workers.values())) {
            conversation.look(worker, nowMs);
        }
        placementDue = true;
        placements.copyStragglers(runsByJob.values(), nowMs);
        conversation.pace().keepLearned(nowMs);
        forgetOldJobs();
    }

    private void forgetOldJobs() {
        long beforeMs = clock.wallMs() - settings.forgetMs();
        synchronized (state) {
            for (Job job : state.jobs().values()) {
                if (job.phase().ended()
                        && job.endedMs() < beforeMs
                        && !runsByJob.containsKey(job.spec().id())) {
                    proposals.add(new WorkCommand.Forget(job.spec().id()), result -> {});
                    return;
                }
            }
        }
    }

    /** Does what became due in this pass of the loop. */
    void settle() {
        long nowMs = clock.nowMs();
        if (placementDue && nowMs >= placeAgainMs && clock.leased()) {
            placementDue = false;
            placements.place(backlog.inOrder(clock.wallMs(), nowMs), nowMs);
            long tookMs = clock.nowMs() - nowMs;
            placeAgainMs = nowMs + Math.max(PLACE_EVERY_MS, PLACE_PART * tookMs);
            Metrics.took("place", tookMs);
        }
        proposals.flush();
    }

    /** Puts a task back whose start was refused, where it still has to run. */
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
     * Returns how many jobs of a queue have not begun.
     *
     * @param queue the queue as the rules have it
     * @return how many jobs of a queue have not begun
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
