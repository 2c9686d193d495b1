package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.Tables;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.RejectJob;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.policy.evict.BatchAttempt;
import org.cornelcove.policy.evict.BatchOrder;
import org.cornelcove.policy.evict.BatchThrottler;
import org.cornelcove.policy.evict.EvictionBudget;
import org.cornelcove.policy.evict.HostLoad;
import org.cornelcove.policy.pace.StartPace;
import org.cornelcove.policy.place.PlacementDecision;
import org.cornelcove.policy.place.Placer;

/**
 * Runs the placement policy for the leader: keeps its input up to date, turns its decisions into commands, and evicts,
 * throttles and resumes attempts.
 *
 * <p>A new leader starts with an empty policy that is filled from the durable state. Starts are paced until the backlog
 * is empty when more jobs wait, or more attempts are requeued within a second, than the paced rate would start in its
 * first second.
 */
final class PlacementLoop {
    private static final int MAX_DECISIONS = 32;
    private static final long BACKLOG_WINDOW_MS = 1_000;
    private static final double PERCENT = 100;
    /** Measurements closer together than this are one measurement, reported in two heartbeats. */
    private static final long SAME_MEASUREMENT_MS = 100;

    private final WorkerBoard workers;
    private final LeaderCounters counters;
    /** The time of the last measurement passed to the placer, by worker. */
    private final Map<HostId, Long> lastMeasurementMs = new HashMap<>();

    private Placer placer;
    private PlacerFeed feed;
    private EvictionBudget evictions;
    private BatchThrottler throttler;
    private RuleSet rules;
    private long windowEndMs;
    private int requeued;

    PlacementLoop(WorkerBoard workers, LeaderCounters counters) {
        this.workers = workers;
        this.counters = counters;
        clear(RuleSet.empty(), 0);
    }

    private void clear(RuleSet newRules, long nowMs) {
        rules = newRules;
        placer = Placer.of(newRules);
        evictions = EvictionBudget.ofNewLeader(newRules.batch().evictionsPerMinute(), nowMs);
        throttler = BatchThrottler.of(evictions);
        feed = new PlacerFeed(placer, this::forget);
        lastMeasurementMs.clear();
        windowEndMs = nowMs + BACKLOG_WINDOW_MS;
        requeued = 0;
    }

    private void forget(HostId host) {
        throttler.forget(host);
        lastMeasurementMs.remove(host);
    }

    /** Rebuilds the policy from the durable state for a new leader. */
    void reset(Tables tables, long nowMs) {
        clear(tables.configuration().newest().rules(), nowMs);
        update(tables, nowMs);
        recoverFrom(placer.waiting(), tables, nowMs);
    }

    /** Records that the proposal of a placement or rejection completed, with an outcome or exceptionally. */
    void decisionCompleted(JobId job) {
        feed.decisionCompleted(job);
    }

    /** Returns the placements and rejections that are due, and marks attempts for eviction to free resources. */
    List<Command> due(Tables tables, long nowMs) {
        update(tables, nowMs);
        updateBacklog(tables, nowMs);
        List<Command> commands = new ArrayList<>();
        placer.decide(nowMs, MAX_DECISIONS).forEach(decision -> commands.add(command(decision)));
        placer.evictFromOvercommitted(id -> canBeEvicted(id, tables), nowMs).forEach(id -> evict(id, tables));
        placer.makeRoom(id -> canBeEvicted(id, tables), evictions, nowMs).forEach(id -> evict(id, tables));
        return commands;
    }

    /** Throttles, resumes or evicts batch attempts on a worker according to its measurements. */
    void measured(WorkerHeartbeat heartbeat, Tables tables, long nowMs) {
        HostLoad load = load(heartbeat, tables, nowMs);
        recordSlowdown(heartbeat, load, tables, nowMs);
        for (BatchOrder order : throttler.decide(load, nowMs)) {
            JobId job = order.attempt().job();
            if (order.action() == AttemptAction.EVICT) {
                placer.markLeaving(job);
                evict(job, tables);
            } else {
                boolean isThrottled = order.action() == AttemptAction.THROTTLE;
                workers.setThrottled(order.attempt(), isThrottled);
                placer.setThrottled(job, isThrottled, nowMs);
            }
        }
        placer.setOpenForBatch(heartbeat.host(), throttler.isOpenForBatch(heartbeat.host()));
    }

    /**
     * Passes the slowdown of services, net of CPU shortage, to the placer, attributed to the placement when measured.
     */
    private void recordSlowdown(WorkerHeartbeat heartbeat, HostLoad load, Tables tables, long nowMs) {
        if (load.measuredAtMs() - lastMeasurementMs.getOrDefault(load.host(), -SAME_MEASUREMENT_MS)
                < SAME_MEASUREMENT_MS) {
            return;
        }
        lastMeasurementMs.put(load.host(), load.measuredAtMs());
        double busyShare = (double) load.services().cpuMillicores()
                / Math.max(1, load.capacity().cpuMillicores());
        for (AttemptReport report : heartbeat.attempts()) {
            if (report.slowdownPercent() > 0 && report.end().isEmpty()) {
                double slowdown = report.slowdownPercent() / PERCENT / Math.max(1, load.pressure());
                WorkerBoard.held(report.attempt(), heartbeat.host(), tables)
                        .filter(job -> job.spec().kind() == JobKind.SERVICE)
                        .ifPresent(job -> placer.measured(
                                heartbeat.host(),
                                job.spec().task(),
                                busyShare,
                                slowdown,
                                nowMs - report.measuredAgeMs()));
            }
        }
    }

    private HostLoad load(WorkerHeartbeat heartbeat, Tables tables, long nowMs) {
        Resources services = Resources.NONE;
        List<BatchAttempt> batch = new ArrayList<>();
        long oldestMs = 0;
        for (AttemptReport report : heartbeat.attempts()) {
            Job job =
                    WorkerBoard.held(report.attempt(), heartbeat.host(), tables).orElse(null);
            if (job == null || report.end().isPresent()) {
                continue;
            }
            oldestMs = Math.max(oldestMs, report.measuredAgeMs());
            if (job.spec().kind() == JobKind.SERVICE) {
                services = services.plus(Resources.of(report.usedCpuMillicores(), report.usedMemoryBytes(), 0));
            } else if (job.state() == JobState.PLACED && !workers.isEvicting(report.attempt())) {
                batch.add(batchAttempt(report, job, nowMs));
            }
        }
        return new HostLoad(heartbeat.host(), heartbeat.capacity(), services, nowMs - oldestMs, batch);
    }

    private BatchAttempt batchAttempt(AttemptReport report, Job job, long nowMs) {
        long savedMs =
                workers.attempt(report.attempt()).map(RunningAttempt::savedMs).orElse(nowMs);
        return new BatchAttempt(
                report.attempt(),
                report.usedCpuMillicores(),
                report.usedMemoryBytes(),
                job.spec().resources().memoryBytes(),
                nowMs - savedMs,
                job.spec().urgent(),
                workers.isThrottled(report.attempt()),
                placer.disturbance(job.id()));
    }

    private void update(Tables tables, long nowMs) {
        RuleSet newest = tables.configuration().newest().rules();
        if (newest != rules) {
            rules = newest;
            placer.setRules(newest);
            evictions.setPerMinute(newest.batch().evictionsPerMinute(), nowMs);
        }
        feed.update(tables, worker -> workers.takesWork(worker.host(), worker.incarnation(), nowMs), nowMs);
    }

    private void updateBacklog(Tables tables, long nowMs) {
        if (nowMs >= windowEndMs) {
            windowEndMs = nowMs + BACKLOG_WINDOW_MS;
            requeued = 0;
        }
        requeued += feed.takeRequeued();
        recoverFrom(requeued, tables, nowMs);
    }

    private void recoverFrom(int backlog, Tables tables, long nowMs) {
        if (!placer.isRecovering()
                && backlog > StartPace.firstPerSecond(tables.workers().all().size())) {
            placer.recover(nowMs);
        }
    }

    private Command command(PlacementDecision decision) {
        JobId job = decision.job().id();
        if (decision instanceof PlacementDecision.Start) {
            HostId host = ((PlacementDecision.Start) decision).host();
            return new PlaceAttempt(feed.decided(job, Optional.of(host)), host);
        }
        feed.decided(job, Optional.empty());
        return new RejectJob(job, ((PlacementDecision.Reject) decision).reason().message());
    }

    private boolean canBeEvicted(JobId id, Tables tables) {
        Job job = tables.jobs().find(id).orElse(null);
        return job != null
                && job.state() == JobState.PLACED
                && !workers.isEvicting(job.attemptId())
                && workers.attempt(job.attemptId())
                        .filter(RunningAttempt::reported)
                        .isPresent();
    }

    private void evict(JobId id, Tables tables) {
        workers.evict(tables.jobs().find(id).orElseThrow().attemptId());
        counters.add(LeaderCounters.Counter.EVICTIONS);
    }

    /** Returns the limit on concurrent attempts that a worker's failures impose, 0 in quarantine. */
    int maxAttempts(HostId host, long nowMs) {
        return placer.health().maxAttempts(host, nowMs);
    }

    /** Returns whether a worker is in quarantine. */
    boolean isQuarantined(HostId host, long nowMs) {
        return maxAttempts(host, nowMs) == 0;
    }
}
