package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.RemoveWorker;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.policy.quarantine.CrashBlame;

/**
 * Tracks the workers that sent heartbeats to this leader and the leases of their attempts, and builds their orders.
 *
 * <p>An attempt may run until its lease expires; each {@code RUN}, {@code THROTTLE} or {@code EVICT} order renews the
 * lease. The leader ends an attempt on its own in two cases only: its lease was not renewed for one lease duration plus
 * the drift bound, or its worker restarted and does not report it. A new leader counts from the time it first sees the
 * attempt, so leases granted by earlier leaders have expired by then.
 *
 * <p>Once the leader has declared an attempt expired it never renews it again, although the durable state holds it
 * until the command is applied. Otherwise a worker whose heartbeat arrives in between would be ordered to continue
 * while the job is placed elsewhere.
 *
 * <p>A cancelled attempt is ordered to stop and is no longer renewed. Its resources are freed when the worker reports
 * its end, or when its lease expires.
 *
 * <p>An attempt that is missing from a heartbeat of the same incarnation is not ended, since heartbeats may arrive late
 * and out of order.
 */
final class WorkerBoard {
    private final Map<HostId, LiveWorker> workers = new TreeMap<>();
    private final Map<AttemptId, RunningAttempt> attempts = new HashMap<>();
    private final Set<AttemptId> evicting = new HashSet<>();
    private final Set<AttemptId> throttled = new HashSet<>();
    private long gainedMs;

    void reset(long nowMs) {
        workers.clear();
        attempts.clear();
        evicting.clear();
        throttled.clear();
        gainedMs = nowMs;
    }

    /** Processes a heartbeat of the registered incarnation and returns the commands that record its reports. */
    List<Command> recordHeartbeat(WorkerHeartbeat heartbeat, Tables tables, long nowMs) {
        LiveWorker before = workers.get(heartbeat.host());
        boolean same = before != null && before.incarnation() == heartbeat.incarnation();
        boolean leaving = heartbeat.leaving() || same && before.leaving();
        workers.put(heartbeat.host(), new LiveWorker(heartbeat.host(), heartbeat.incarnation(), leaving, nowMs));
        List<Command> commands = new ArrayList<>();
        Set<AttemptId> reported = new HashSet<>();
        for (AttemptReport report : heartbeat.attempts()) {
            reported.add(report.attempt());
            held(report.attempt(), heartbeat.host(), tables).ifPresent(job -> record(report, job, nowMs, commands));
        }
        endUnreported(heartbeat, before, reported, tables, nowMs, commands);
        return commands;
    }

    /** Returns the job of an attempt that holds resources on the host. */
    static Optional<Job> held(AttemptId attempt, HostId host, Tables tables) {
        return tables.jobs()
                .find(attempt.job())
                .filter(job -> job.holds(attempt) && job.host().equals(Optional.of(host)));
    }

    private void record(AttemptReport report, Job job, long nowMs, List<Command> commands) {
        attempts.put(report.attempt(), attempt(job, nowMs).reported(report.checkpoint(), nowMs));
        if (report.end().isPresent() && report.end().get() != AttemptEnd.LOST) {
            commands.add(new EndAttempt(report.attempt(), report.end().get(), report.checkpoint(), report.detail()));
        } else if (report.checkpoint().isPresent()
                && job.state() == JobState.PLACED
                && !report.checkpoint().equals(job.checkpoint())) {
            commands.add(
                    new RecordCheckpoint(report.attempt(), report.checkpoint().get()));
        }
    }

    private RunningAttempt attempt(Job job, long nowMs) {
        RunningAttempt known = attempts.get(job.attemptId());
        return known != null ? known : RunningAttempt.seen(job.host().orElseThrow(), nowMs);
    }

    /** Ends the attempts of earlier incarnations that this incarnation does not report. */
    private void endUnreported(
            WorkerHeartbeat heartbeat,
            LiveWorker before,
            Set<AttemptId> reported,
            Tables tables,
            long nowMs,
            List<Command> commands) {
        List<Job> lost = new ArrayList<>();
        for (JobId id : tables.jobs().jobsOn(heartbeat.host())) {
            Job job = tables.jobs().find(id).orElseThrow();
            if (job.hostIncarnation() < heartbeat.incarnation() && !reported.contains(job.attemptId())) {
                lost.add(job);
            }
        }
        boolean heardBefore = before != null && before.incarnation() < heartbeat.incarnation();
        BitSet blamed = heardBefore && !before.leaving() ? blamed(lost, before, nowMs) : new BitSet();
        for (int i = 0; i < lost.size(); i++) {
            commands.add(
                    blamed.get(i)
                            ? end(lost.get(i), AttemptEnd.FAILED, "its worker crashed", nowMs)
                            : endAsLost(lost.get(i), "worker restarted", nowMs));
        }
    }

    /**
     * Decides which attempts of a worker that restarted count as failed, so that no job crashes worker after worker.
     *
     * @param lost the attempts that the restarted worker does not report
     * @param before what this leader heard of the worker before it restarted
     * @param nowMs the time of this leader
     * @return the indices of the blamed attempts
     */
    private BitSet blamed(List<Job> lost, LiveWorker before, long nowMs) {
        return CrashBlame.blamed(lost.stream()
                .map(job -> {
                    RunningAttempt attempt = attempt(job, nowMs);
                    long aliveMs = attempt.reported() ? Math.max(0, before.heardMs() - attempt.sinceMs()) : 0;
                    return new CrashBlame.Run(job.failures(), aliveMs);
                })
                .toList());
    }

    private EndAttempt endAsLost(Job job, String detail, long nowMs) {
        return end(job, AttemptEnd.LOST, detail, nowMs);
    }

    private EndAttempt end(Job job, AttemptEnd how, String detail, long nowMs) {
        attempts.put(job.attemptId(), attempt(job, nowMs).declaredExpired());
        return new EndAttempt(job.attemptId(), how, Optional.empty(), detail);
    }

    /** Builds the orders for a worker of the registered incarnation from the durable state. */
    WorkerOrders orders(WorkerHeartbeat heartbeat, Tables tables, long nowMs) {
        Map<AttemptId, AttemptReport> reported = new HashMap<>();
        heartbeat.attempts().forEach(report -> reported.put(report.attempt(), report));
        List<AttemptOrder> orders = new ArrayList<>();
        for (JobId id : tables.jobs().jobsOn(heartbeat.host())) {
            Job job = tables.jobs().find(id).orElseThrow();
            AttemptReport report = reported.remove(job.attemptId());
            if (job.hostIncarnation() <= heartbeat.incarnation()) {
                order(job, Optional.ofNullable(report), heartbeat, nowMs).ifPresent(orders::add);
            }
        }
        for (AttemptReport report : reported.values()) {
            AttemptAction action = report.end().isPresent() ? AttemptAction.FORGET : AttemptAction.STOP;
            orders.add(new AttemptOrder(report.attempt(), action, Optional.empty(), Optional.empty()));
        }
        return new WorkerOrders(Leases.ATTEMPT_LEASE_MS, Leases.WORKER_HEARTBEAT_MS, orders);
    }

    private Optional<AttemptOrder> order(
            Job job, Optional<AttemptReport> report, WorkerHeartbeat heartbeat, long nowMs) {
        AttemptId id = job.attemptId();
        if (report.isPresent() && report.get().end().isPresent()) {
            return Optional.empty();
        }
        if (job.state() != JobState.PLACED || attempt(job, nowMs).over()) {
            return Optional.of(new AttemptOrder(id, AttemptAction.STOP, Optional.empty(), Optional.empty()));
        }
        if (report.isEmpty() && (heartbeat.leaving() || job.hostIncarnation() != heartbeat.incarnation())) {
            return Optional.empty();
        }
        attempts.put(id, attempt(job, nowMs).renewed(nowMs));
        if (report.isEmpty()) {
            return Optional.of(new AttemptOrder(id, AttemptAction.RUN, Optional.of(job.spec()), job.checkpoint()));
        }
        return Optional.of(new AttemptOrder(id, action(job, heartbeat), Optional.empty(), Optional.empty()));
    }

    private AttemptAction action(Job job, WorkerHeartbeat heartbeat) {
        if (heartbeat.leaving() || evicting.contains(job.attemptId())) {
            return AttemptAction.EVICT;
        }
        return throttled.contains(job.attemptId()) ? AttemptAction.THROTTLE : AttemptAction.RUN;
    }

    /** Returns orders that stop all reported attempts, for a superseded incarnation. */
    static WorkerOrders stopAll(WorkerHeartbeat heartbeat) {
        List<AttemptOrder> orders = new ArrayList<>();
        for (AttemptReport report : heartbeat.attempts()) {
            orders.add(new AttemptOrder(report.attempt(), AttemptAction.STOP, Optional.empty(), Optional.empty()));
        }
        return new WorkerOrders(0, Leases.WORKER_HEARTBEAT_MS, orders);
    }

    /** Synchronizes the attempts with the durable state and ends those whose lease has expired. */
    List<Command> due(Tables tables, long nowMs) {
        List<Command> commands = new ArrayList<>();
        Set<AttemptId> holding = new HashSet<>();
        for (HostId host : tables.jobs().hostsInUse()) {
            for (JobId id : tables.jobs().jobsOn(host)) {
                Job job = tables.jobs().find(id).orElseThrow();
                holding.add(job.attemptId());
                RunningAttempt attempt = attempt(job, nowMs);
                attempts.put(job.attemptId(), attempt);
                if (attempt.over() || nowMs >= Leases.attemptLeaseEndMs(attempt.renewedMs())) {
                    commands.add(endAsLost(job, "lease expired", nowMs));
                }
            }
        }
        attempts.keySet().retainAll(holding);
        evicting.retainAll(holding);
        throttled.retainAll(holding);
        removeWorkers(tables, nowMs, commands);
        return commands;
    }

    private void removeWorkers(Tables tables, long nowMs, List<Command> commands) {
        for (WorkerRecord worker : tables.workers().all()) {
            LiveWorker known = workers.get(worker.host());
            long silentMs = nowMs - (known == null ? gainedMs : known.heardMs());
            if (silentMs > Leases.WORKER_FORGET_MS
                    && tables.jobs().heldOn(worker.host()).attempts() == 0) {
                workers.remove(worker.host());
                commands.add(new RemoveWorker(worker.host()));
            }
        }
    }

    /** Returns whether the worker may get new work. */
    boolean takesWork(HostId host, long incarnation, long nowMs) {
        LiveWorker known = workers.get(host);
        return known != null
                && known.incarnation() == incarnation
                && !known.leaving()
                && nowMs - known.heardMs() <= Leases.WORKER_SILENCE_MS;
    }

    Optional<LiveWorker> find(HostId host) {
        return Optional.ofNullable(workers.get(host));
    }

    Optional<RunningAttempt> attempt(AttemptId id) {
        return Optional.ofNullable(attempts.get(id));
    }

    void evict(AttemptId id) {
        evicting.add(id);
    }

    /** Sets whether an attempt is ordered to run at a reduced rate. */
    void setThrottled(AttemptId id, boolean isThrottled) {
        if (isThrottled) {
            throttled.add(id);
        } else {
            throttled.remove(id);
        }
    }

    boolean isThrottled(AttemptId id) {
        return throttled.contains(id);
    }

    boolean isEvicting(AttemptId id) {
        return evicting.contains(id);
    }
}
