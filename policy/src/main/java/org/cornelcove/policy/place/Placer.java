package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.policy.evict.EvictionBudget;
import org.cornelcove.policy.learn.InterferenceModel;
import org.cornelcove.policy.learn.LoadBand;
import org.cornelcove.policy.learn.PlacementHistory;
import org.cornelcove.policy.pace.StartPace;
import org.cornelcove.policy.place.PendingJobs.PendingJob;
import org.cornelcove.policy.place.RunningJobs.RunningJob;
import org.cornelcove.policy.quarantine.KindTrial;
import org.cornelcove.policy.quarantine.WorkerHealth;

/**
 * The leader's placement: which waiting jobs start, and where.
 *
 * <p>Urgent jobs and services go first, then batch work; each time the team with the smallest dominant share for its
 * weight. Within a team the oldest job goes first, but one that fits nowhere lets up to {@code LOOK_AHEAD} younger ones pass, see
 * {@link DecisionRound}. A shape (kind, amount) that fitted nowhere is not tried again in the same round, so that a queue of a thousand equal jobs costs one search. For a
 * job that waited long a host is kept free of other batch work until the job fits there, on a bounded number of hosts.
 *
 * <p>A job is not placed again on a worker that it failed on, as long as another that takes work could hold it.
 *
 * <p>Held in memory by the leader, and rebuilt by a new one: {@code putHost} and {@code restore} from the replicated
 * state, {@code submit} for what waits, {@code recover} to bound the pace. The state machine checks every start again; one
 * that it refuses is taken back with {@code ended} and submitted again. Not thread-safe.
 */
public final class Placer {
    /** How many hosts there are to each one that is kept free, which bounds what stands idle. */
    private static final int HOSTS_TO_A_HELD_ONE = 50;

    private final InterferenceModel interference = InterferenceModel.create();
    private final PlacementHistory history = PlacementHistory.create();
    final KindTrial trials = KindTrial.create();
    final StartPace pace = StartPace.create();
    final PendingJobs pending = new PendingJobs();
    private final Map<HostId, Resources> capacities = new HashMap<>();
    final HostTable hosts;
    final TeamQuotas quotas;
    private final RunningJobs running;
    private final WorkerHealth health;
    private final RoomMaker roomMaker;
    /** Hosts kept free of other batch work for jobs that waited long. */
    private final Map<JobId, HostId> held = new HashMap<>();

    /** Jobs that go first and found no host in the last round. */
    final Map<JobId, PendingJob> withoutRoom = new LinkedHashMap<>();

    private RuleSet rules;
    private long nextRank;
    private Set<HostId> limited = Set.of();
    Resources cluster = Resources.NONE;

    private Placer(RuleSet rules) {
        this.rules = rules;
        this.hosts = HostTable.of(interference, rules.batch().serviceReservePercent());
        this.quotas = new TeamQuotas(rules.teams());
        this.running = new RunningJobs(hosts, quotas, history);
        this.health = WorkerHealth.of(rules.batch().quarantinePercent());
        this.roomMaker = new RoomMaker(hosts, running, health, this::avoid);
    }

    /**
     * Returns a placement without hosts and jobs.
     *
     * @param rules the rules in force
     * @return the placement
     */
    public static Placer of(RuleSet rules) {
        return new Placer(rules);
    }

    /**
     * Takes in a new configuration.
     *
     * @param newRules the rules in force from now on
     */
    public void setRules(RuleSet newRules) {
        rules = newRules;
        hosts.setReservePercent(newRules.batch().serviceReservePercent());
        quotas.setRules(newRules.teams());
        health.setMaxPercent(newRules.batch().quarantinePercent());
    }

    /**
     * Adds a host that runs nothing yet; also after it started anew, which keeps the record of its health.
     *
     * @param host the host
     * @param availabilityZone where it stands
     * @param rack its rack
     * @param capacity what it holds
     */
    public void putHost(HostId host, String availabilityZone, String rack, Resources capacity) {
        dropHost(host);
        hosts.add(host, availabilityZone, rack, capacity);
        capacities.put(host, capacity);
        cluster = cluster.plus(capacity);
        health.add(host);
    }

    /**
     * Adds a host, or changes one, that goes on with what is known to run there.
     *
     * @param host the host
     * @param availabilityZone where it stands
     * @param rack its rack
     * @param capacity what it holds now; may be less than what runs there takes
     * @param nowMs the current instant
     */
    public void changeHost(HostId host, String availabilityZone, String rack, Resources capacity, long nowMs) {
        putHost(host, availabilityZone, rack, capacity);
        running.takeAgain(host, nowMs);
    }

    /**
     * Forgets a host that is gone. What ran there is reported through {@link #ended}.
     *
     * @param host the host
     */
    public void removeHost(HostId host) {
        dropHost(host);
        health.remove(host);
    }

    private void dropHost(HostId host) {
        Resources capacity = capacities.remove(host);
        if (capacity != null) {
            hosts.remove(host);
            history.forget(host);
            cluster = cluster.minus(capacity);
        }
    }

    /**
     * Opens or closes a host for all work; closed while it is silent or asks to leave.
     *
     * @param host the host
     * @param takesWork whether it takes some
     */
    public void setTakesWork(HostId host, boolean takesWork) {
        hosts.setTakesWork(host, takesWork);
    }

    /**
     * Opens or closes a host for batch work that is not urgent; closed while it gives way.
     *
     * @param host the host
     * @param open whether it takes some
     */
    public void setOpenForBatch(HostId host, boolean open) {
        hosts.setOpenForBatch(host, open);
    }

    /**
     * Notes a job that waits, behind those that wait already.
     *
     * @param job the job
     * @param sinceMs since when
     */
    public void submit(JobSpec job, long sinceMs) {
        submit(job, nextRank++, Set.of(), sinceMs);
    }

    /**
     * Notes a job that waits.
     *
     * @param job the job
     * @param rank its place in the line of its team, lowest first
     * @param failedOn the hosts that it is known to have failed on
     * @param sinceMs since when
     */
    public void submit(JobSpec job, long rank, Set<HostId> failedOn, long sinceMs) {
        pending.add(new PendingJob(job, rank, failedOn, sinceMs));
    }

    /**
     * Forgets a job that was cancelled or got its final answer, and frees what it held.
     *
     * @param job the job
     * @param nowMs the current instant
     */
    public void forget(JobId job, long nowMs) {
        pending.remove(job);
        withoutRoom.remove(job);
        unhold(job);
        running.free(job, nowMs).ifPresent(r -> trials.ended(r.spec().task()));
        health.forget(job);
    }

    /**
     * Notes an attempt that holds its resources already, for a new leader.
     *
     * @param job the job
     * @param host where it runs
     * @param nowMs the current instant
     */
    public void restore(JobSpec job, HostId host, long nowMs) {
        pending.remove(job.id());
        take(job, host, nowMs);
    }

    /**
     * Notes a fault that leaves a backlog: until it is gone, starts are paced.
     *
     * @param nowMs the current instant
     */
    public void recover(long nowMs) {
        pace.recover(hosts.size(), nowMs);
    }

    /**
     * Tells whether starts are bounded since a fault.
     *
     * @return whether they are
     */
    public boolean isRecovering() {
        return pace.isRecovering();
    }

    /**
     * Learns from the end of an attempt and frees what it held. A job that is to run again is submitted again.
     *
     * @param job the job
     * @param end how the attempt ended
     * @param nowMs the current instant
     */
    public void ended(JobId job, AttemptEnd end, long nowMs) {
        Optional<RunningJob> found = running.free(job, nowMs);
        if (found.isEmpty()) {
            return;
        }
        RunningJob was = found.get();
        switch (end) {
            case FINISHED -> {
                health.succeeded(was.host(), job);
                trials.succeeded(was.spec().task());
            }
            case FAILED -> failed(was, nowMs);
            default -> trials.ended(was.spec().task());
        }
    }

    /**
     * Tells whether the job failed on so many healthy workers that it gets its final answer.
     *
     * @param job the job
     * @return whether it does
     */
    public boolean isHopeless(JobId job) {
        int enough = Math.min(rules.batch().maxAttempts(), Math.max(1, hosts.size()));
        return health.healthyWorkersFailedOn(job) >= enough;
    }

    /**
     * Learns from a late measurement of a service on a host.
     *
     * @param host the host
     * @param service the kind of service
     * @param busyShare the share of the host's processors that its services used
     * @param slowdown the service's run time over that of an undisturbed one, net of a lack of processors
     * @param measuredAtMs when it was measured
     */
    public void measured(HostId host, String service, double busyShare, double slowdown, long measuredAtMs) {
        LoadBand band = LoadBand.of(busyShare);
        hosts.setServiceLoad(host, band);
        history.at(host, measuredAtMs).ifPresent(kinds -> interference.observe(service, kinds, band, slowdown));
    }

    /**
     * Notes that an attempt was throttled, or runs at full rate again, so that later measurements are credited rightly.
     *
     * @param job the job
     * @param isThrottled whether it runs at a reduced rate
     * @param nowMs the current instant
     */
    public void setThrottled(JobId job, boolean isThrottled, long nowMs) {
        running.setThrottled(job, isThrottled, nowMs);
    }

    /**
     * Returns how much a running job is known to disturb the services of its host at their load now.
     *
     * @param job the job
     * @return the share added to the run time of the service that suffers most; 0 when unknown
     */
    public double disturbance(JobId job) {
        return running.disturbance(job);
    }

    /**
     * Decides on the waiting jobs. What is decided counts as placed from then on.
     *
     * @param nowMs the current instant
     * @param most the most decisions to make
     * @return the decisions, the most urgent first
     */
    public List<PlacementDecision> decide(long nowMs, int most) {
        List<PlacementDecision> decisions = new ArrayList<>();
        withoutRoom.clear();
        if (pending.isEmpty()) {
            pace.backlogGone();
            return decisions;
        }
        refreshLimits(nowMs);
        DecisionRound round = new DecisionRound(this, nowMs, most, decisions);
        round.run(true);
        round.run(false);
        return decisions;
    }

    /**
     * Notes that a running job took a checkpoint.
     *
     * @param job the job
     * @param nowMs the current instant
     */
    public void checkpointed(JobId job, long nowMs) {
        running.checkpointed(job, nowMs);
    }

    /**
     * Chooses what to evict so that urgent jobs that fit nowhere find room, see the other method; any attempt may leave.
     *
     * @param budget the cluster's budget
     * @param nowMs the current instant
     * @return the jobs to checkpoint and evict; each is named once
     */
    public List<JobId> makeRoom(EvictionBudget budget, long nowMs) {
        return makeRoom(job -> true, budget, nowMs);
    }

    /**
     * Chooses what to evict so that urgent jobs and services find room that fitted nowhere in the last round of decisions:
     * on the host where least work is lost. That host is kept for the job until it starts there, at most for
     * ten seconds.
     *
     * @param mayLeave the jobs that may be evicted
     * @param budget the cluster's budget
     * @param nowMs the current instant
     * @return the jobs to checkpoint and evict; each is named once
     */
    public List<JobId> makeRoom(Predicate<JobId> mayLeave, EvictionBudget budget, long nowMs) {
        return roomMaker.makeRoom(withoutRoom.values(), mayLeave, budget, nowMs);
    }

    /**
     * Notes that a running job was told to make room, so that it is not asked for it again.
     *
     * @param job the job
     */
    public void leaves(JobId job) {
        running.leave(job);
    }

    /**
     * Chooses what to evict on hosts that hold more than their capacity, since they told of a smaller one. That is outside
     * the budget, because such a host can't go on.
     *
     * @param mayLeave the jobs that may be evicted
     * @param nowMs the current instant
     * @return the jobs to checkpoint and evict; each is named once
     */
    public List<JobId> relieve(Predicate<JobId> mayLeave, long nowMs) {
        return roomMaker.relieve(mayLeave, nowMs);
    }

    Set<HostId> avoid(PendingJob waiting) {
        Set<HostId> avoid = new HashSet<>(health.workersFailedOn(waiting.spec().id()));
        avoid.addAll(waiting.failedOn());
        return avoid.isEmpty() || hosts.fitsOpenHostBut(waiting.spec(), avoid) ? avoid : Set.of();
    }

    /**
     * Returns how many jobs wait.
     *
     * @return the number
     */
    public int waiting() {
        return pending.size();
    }

    /**
     * Returns the model of pairs that disturb each other, for its summary.
     *
     * @return the model
     */
    public InterferenceModel interference() {
        return interference;
    }

    /**
     * Returns what is known of the workers' health.
     *
     * @return the records
     */
    public WorkerHealth health() {
        return health;
    }

    private void failed(RunningJob was, long nowMs) {
        health.failed(was.host(), was.spec().id(), nowMs);
        if (health.maxAttempts(was.host(), nowMs) == WorkerHealth.UNLIMITED) {
            trials.failed(was.spec().task());
        } else {
            trials.ended(was.spec().task());
        }
    }

    private void refreshLimits(long nowMs) {
        Set<HostId> restricted = health.restricted();
        limited.stream()
                .filter(host -> !restricted.contains(host))
                .forEach(host -> hosts.limitAttempts(host, WorkerHealth.UNLIMITED));
        restricted.forEach(host -> hosts.limitAttempts(host, health.maxAttempts(host, nowMs)));
        limited = restricted;
    }

    /** Keeps a host free for a job that others overtook for long, so that room for it gathers there. */
    void hold(JobSpec job) {
        if (!held.containsKey(job.id()) && held.size() <= hosts.size() / HOSTS_TO_A_HELD_ONE) {
            hosts.hold(job).ifPresent(host -> held.put(job.id(), host));
        }
    }

    private void unhold(JobId job) {
        roomMaker.forget(job);
        Optional.ofNullable(held.remove(job)).ifPresent(hosts::unhold);
    }

    void take(JobSpec job, HostId host, long nowMs) {
        unhold(job.id());
        running.take(job, host, nowMs);
        trials.started(job.task());
    }
}
