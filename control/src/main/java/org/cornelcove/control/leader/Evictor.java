package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.Tables;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;

/**
 * Makes room for urgent jobs and services by evicting batch attempts that are not urgent, within the budget of the
 * rules. One host is chosen for a job, the one on which least work is lost, and kept for it until the job is placed or
 * {@link #RESERVATION_MS} have passed; other work is not placed there meanwhile.
 */
final class Evictor {
    static final long RESERVATION_MS = 10_000;

    private static final double SECONDS_PER_MINUTE = 60;

    /** Asks for no room of its own: it fits once the host holds no more than its capacity. */
    private static final JobSpec NOTHING =
            new JobSpec(JobId.of("nothing"), "none", JobKind.SERVICE, "", Resources.NONE, 0, false, "");

    /** A host that is kept for a job. */
    private record Reservation(HostId host, long untilMs) {}

    private final EvictionPolicy policy;
    private final WorkerBoard workers;
    private final LeaderCounters counters;
    private final Map<JobId, Reservation> reservations = new HashMap<>();
    private TokenBucket budget = TokenBucket.of(0, 0);

    Evictor(EvictionPolicy policy, WorkerBoard workers, LeaderCounters counters) {
        this.counters = counters;
        this.policy = policy;
        this.workers = workers;
    }

    void reset(long nowMs) {
        reservations.clear();
        budget = TokenBucket.of(1, nowMs);
    }

    /** Evicts for those of the jobs that may displace others. */
    void makeRoom(List<Job> withoutRoom, Map<HostId, HostRoom> rooms, Tables tables, long nowMs) {
        BatchRule rule = tables.configuration().newest().rules().batch();
        budget.fill(rule.evictionsPerMinute() / SECONDS_PER_MINUTE, Math.max(1, rule.evictionsPerMinute()), nowMs);
        reservations.entrySet().removeIf(kept -> kept.getValue().untilMs() <= nowMs || !waits(kept.getKey(), tables));
        for (Job job : withoutRoom) {
            boolean displaces = job.spec().urgent() || job.spec().kind() == JobKind.SERVICE;
            if (displaces && !reservations.containsKey(job.id())) {
                evictFor(job, rooms, tables, rule, nowMs);
            }
        }
    }

    /**
     * Evicts from hosts that hold more than their capacity, since a worker told of a smaller one. That is outside the
     * budget.
     */
    void relieve(Tables tables, long nowMs) {
        BatchRule rule = tables.configuration().newest().rules().batch();
        for (HostId host : tables.jobs().hostsInUse()) {
            HostRoom room = HostRoom.of(tables.workers().find(host).orElseThrow(), tables);
            if (!room.held().total().fitsIn(room.capacity())
                    && !workers.evicts(tables.jobs().jobsOn(host), tables)) {
                policy.choose(NOTHING, room, victims(host, tables, nowMs), rule).forEach(this::evict);
            }
        }
    }

    private static boolean waits(JobId id, Tables tables) {
        return tables.jobs().find(id).map(Job::state).orElse(JobState.FAILED) == JobState.PENDING;
    }

    private void evictFor(Job job, Map<HostId, HostRoom> rooms, Tables tables, BatchRule rule, long nowMs) {
        Map<HostId, List<Victim>> plans = new HashMap<>();
        for (HostRoom room : rooms.values()) {
            List<Victim> chosen = policy.choose(job.spec(), room, victims(room.host(), tables, nowMs), rule);
            if (!chosen.isEmpty() && !keeps(room.host())) {
                plans.put(room.host(), chosen);
            }
        }
        Optional<HostId> best = plans.keySet().stream()
                .min(Comparator.comparingDouble((HostId host) -> plans.get(host).stream()
                                .mapToDouble(Victim::lostWork)
                                .sum())
                        .thenComparing(Comparator.naturalOrder()));
        if (best.isPresent() && budget.take(plans.get(best.get()).size())) {
            plans.get(best.get()).forEach(this::evict);
            reservations.put(job.id(), new Reservation(best.get(), nowMs + RESERVATION_MS));
        }
    }

    private void evict(Victim victim) {
        workers.evict(victim.attempt());
        counters.add(LeaderCounters.Counter.EVICTIONS);
    }

    private List<Victim> victims(HostId host, Tables tables, long nowMs) {
        List<Victim> victims = new ArrayList<>();
        for (JobId id : tables.jobs().jobsOn(host)) {
            Job job = tables.jobs().find(id).orElseThrow();
            boolean mayGo = job.spec().kind() == JobKind.BATCH
                    && !job.spec().urgent()
                    && job.state() == JobState.PLACED
                    && !workers.isEvicting(job.attemptId());
            if (mayGo) {
                workers.attempt(job.attemptId())
                        .filter(RunningAttempt::reported)
                        .ifPresent(running ->
                                victims.add(new Victim(job.attemptId(), job.spec(), nowMs - running.savedMs())));
            }
        }
        return victims;
    }

    private boolean keeps(HostId host) {
        return reservations.values().stream().anyMatch(kept -> kept.host().equals(host));
    }

    /** Returns the hosts that are kept, and for which job. */
    Map<HostId, JobId> kept() {
        Map<HostId, JobId> hosts = new HashMap<>();
        reservations.forEach((job, kept) -> hosts.put(kept.host(), job));
        return hosts;
    }
}
