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
 * The leader's placement: decides which waiting jobs start, and on which hosts.
 *
 * <p>Urgent jobs and services are placed before ordinary batch work. Within each group, weighted dominant resource
 * fairness selects the team: the one with the smallest dominant share divided by its weight. Within a team the oldest
 * job goes first; if it cannot start, the next jobs in the queue are tried, {@code LOOK_AHEAD} jobs in all including the
 * oldest, see {@link DecisionRound}. A search that found no host is not repeated in the same round for a job of the same
 * shape (kind, task, resources, urgency), so that a queue of a thousand equal jobs costs one search. For a job that has
 * waited long a host is reserved, which keeps other ordinary batch work away until the job fits there; the number of such
 * reservations is bounded.
 *
 * <p>A job is not placed again on a worker that it failed on while another worker that accepts work could hold it.
 *
 * <p>The leader holds this state in memory. A new leader rebuilds it: {@code putHost} and {@code restore} from the
 * replicated state, {@code submit} for waiting jobs, {@code recover} to limit the start rate. The state machine checks
 * every start again; a start that it refuses is undone with {@code ended}, and the job is submitted again. Not
 * thread-safe.
 */
public final class Placer {
    /** Number of hosts per reserved host; bounds the capacity that reservations leave idle. */
    private static final int HOSTS_PER_RESERVATION = 50;

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
    /** Hosts reserved for jobs that have waited long. */
    private final Map<JobId, HostId> reservedHosts = new HashMap<>();

    /** Urgent jobs and services that fitted no host in the last round. */
    final Map<JobId, PendingJob> withoutRoom = new LinkedHashMap<>();

    private RuleSet rules;
    private long nextRank;
    private Set<HostId> limitedHosts = Set.of();
    Resources clusterCapacity = Resources.NONE;

    private Placer(RuleSet rules) {
        this.rules = rules;
        this.hosts = HostTable.of(interference, rules.batch().serviceReservePercent());
        this.quotas = new TeamQuotas(rules.teams());
        this.running = new RunningJobs(hosts, quotas, history);
        this.health = WorkerHealth.of(rules.batch().quarantinePercent());
        this.roomMaker = new RoomMaker(hosts, running, health, this::avoid);
    }

    /**
     * Returns a placer without hosts and jobs.
     *
     * @param rules the rules in force
     * @return the placer
     */
    public static Placer of(RuleSet rules) {
        return new Placer(rules);
    }

    /**
     * Applies a new configuration.
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
     * Adds a host that runs nothing yet. A restarted host is added again the same way and keeps its health record.
     *
     * @param host the host
     * @param availabilityZone the host's availability zone
     * @param rack the host's rack
     * @param capacity the host's total resources
     */
    public void putHost(HostId host, String availabilityZone, String rack, Resources capacity) {
        dropHost(host);
        hosts.add(host, availabilityZone, rack, capacity);
        capacities.put(host, capacity);
        clusterCapacity = clusterCapacity.plus(capacity);
        health.add(host);
    }

    /**
     * Adds or updates a host whose known running jobs continue.
     *
     * @param host the host
     * @param availabilityZone the host's availability zone
     * @param rack the host's rack
     * @param capacity the host's total resources; may be less than its running jobs hold
     * @param nowMs the current instant
     */
    public void changeHost(HostId host, String availabilityZone, String rack, Resources capacity, long nowMs) {
        putHost(host, availabilityZone, rack, capacity);
        running.reallocate(host, nowMs);
    }

    /**
     * Removes a host. The caller reports the attempts that ran there through {@link #ended}.
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
            clusterCapacity = clusterCapacity.minus(capacity);
        }
    }

    /**
     * Sets whether a host accepts any work; it does not while it is silent or leaving.
     *
     * @param host the host
     * @param takesWork whether the host accepts work
     */
    public void setTakesWork(HostId host, boolean takesWork) {
        hosts.setTakesWork(host, takesWork);
    }

    /**
     * Sets whether a host accepts batch work that is not urgent; it does not while batch work yields to services there.
     *
     * @param host the host
     * @param open whether the host accepts such work
     */
    public void setOpenForBatch(HostId host, boolean open) {
        hosts.setOpenForBatch(host, open);
    }

    /**
     * Adds a waiting job behind the jobs that already wait.
     *
     * @param job the job
     * @param sinceMs the time from which it has waited, in ms
     */
    public void submit(JobSpec job, long sinceMs) {
        submit(job, nextRank++, Set.of(), sinceMs);
    }

    /**
     * Adds a waiting job at a given position.
     *
     * @param job the job
     * @param rank its position in its team's queue, lowest first
     * @param failedOn the hosts on which it is known to have failed
     * @param sinceMs the time from which it has waited, in ms
     */
    public void submit(JobSpec job, long rank, Set<HostId> failedOn, long sinceMs) {
        pending.add(new PendingJob(job, rank, failedOn, sinceMs));
    }

    /**
     * Removes a job that was cancelled or has its final result, and releases its resources.
     *
     * @param job the job
     * @param nowMs the current instant
     */
    public void forget(JobId job, long nowMs) {
        pending.remove(job);
        withoutRoom.remove(job);
        cancelReservation(job);
        running.free(job, nowMs).ifPresent(r -> trials.ended(r.spec().task()));
        health.forget(job);
    }

    /**
     * Adds an attempt that already holds its resources; used by a new leader.
     *
     * @param job the job
     * @param host the host it runs on
     * @param nowMs the current instant
     */
    public void restore(JobSpec job, HostId host, long nowMs) {
        pending.remove(job.id());
        take(job, host, nowMs);
    }

    /**
     * Limits the start rate after a fault until the backlog that it left is empty.
     *
     * @param nowMs the current instant
     */
    public void recover(long nowMs) {
        pace.recover(hosts.size(), nowMs);
    }

    /**
     * Checks whether the start rate is still limited after a fault.
     *
     * @return true until the backlog is empty
     */
    public boolean isRecovering() {
        return pace.isRecovering();
    }

    /**
     * Updates health and trial records when an attempt ends, and releases its resources. The caller submits a job again
     * that is to be retried.
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
     * Checks whether the job has failed on so many healthy workers that it is not retried.
     *
     * @param job the job
     * @return true if it must not be retried
     */
    public boolean isHopeless(JobId job) {
        int enough = Math.min(rules.batch().maxAttempts(), Math.max(1, hosts.size()));
        return health.healthyWorkersFailedOn(job) >= enough;
    }

    /**
     * Updates the interference model from a measurement of a service on a host; the measurement may arrive late.
     *
     * @param host the host
     * @param service the kind of service
     * @param busyShare the share of the host's CPU that its services used, 0 to 1
     * @param slowdown the ratio of the service's run time to its undisturbed run time, excluding the effect of CPU shortage
     * @param measuredAtMs the time of the measurement, in ms
     */
    public void measured(HostId host, String service, double busyShare, double slowdown, long measuredAtMs) {
        LoadBand band = LoadBand.of(busyShare);
        hosts.setServiceLoad(host, band);
        history.at(host, measuredAtMs).ifPresent(kinds -> interference.observe(service, kinds, band, slowdown));
    }

    /**
     * Records that an attempt was throttled or runs at full rate again, so that later measurements are attributed
     * correctly.
     *
     * @param job the job
     * @param isThrottled whether it runs at a reduced rate
     * @param nowMs the current instant
     */
    public void setThrottled(JobId job, boolean isThrottled, long nowMs) {
        running.setThrottled(job, isThrottled, nowMs);
    }

    /**
     * Returns the known slowdown that a running job causes for the services of its host at their current load.
     *
     * @param job the job
     * @return the largest relative increase of a service's run time; 0 if unknown
     */
    public double disturbance(JobId job) {
        return running.disturbance(job);
    }

    /**
     * Decides on the waiting jobs. A started job holds its resources from then on.
     *
     * @param nowMs the current instant
     * @param most the maximum number of decisions
     * @return the decisions in order: urgent jobs and services before ordinary batch work
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
     * Records that a running job took a checkpoint.
     *
     * @param job the job
     * @param nowMs the current instant
     */
    public void checkpointed(JobId job, long nowMs) {
        running.checkpointed(job, nowMs);
    }

    /**
     * Chooses jobs to evict as {@link #makeRoom(Predicate, EvictionBudget, long)} does, where any job may be evicted.
     *
     * @param budget the cluster's eviction budget
     * @param nowMs the current instant
     * @return the jobs to checkpoint and evict; each is returned by one call only
     */
    public List<JobId> makeRoom(EvictionBudget budget, long nowMs) {
        return makeRoom(job -> true, budget, nowMs);
    }

    /**
     * Chooses jobs to evict for urgent jobs and services that fitted no host in the last round of decisions: on the host
     * where the least work is lost. That host is reserved for the waiting job until the job starts there, for at most ten
     * seconds.
     *
     * @param mayLeave the jobs that may be evicted
     * @param budget the cluster's eviction budget
     * @param nowMs the current instant
     * @return the jobs to checkpoint and evict; each is returned by one call only
     */
    public List<JobId> makeRoom(Predicate<JobId> mayLeave, EvictionBudget budget, long nowMs) {
        return roomMaker.makeRoom(withoutRoom.values(), mayLeave, budget, nowMs);
    }

    /**
     * Records that a running job is being evicted, so that it is not selected again.
     *
     * @param job the job
     */
    public void markLeaving(JobId job) {
        running.markLeaving(job);
    }

    /**
     * Chooses jobs to evict on hosts whose allocations exceed their capacity because they reported a smaller capacity.
     * These evictions do not count against the budget, because an overcommitted host cannot continue.
     *
     * @param mayLeave the jobs that may be evicted
     * @param nowMs the current instant
     * @return the jobs to checkpoint and evict; each is returned by one call only
     */
    public List<JobId> evictFromOvercommitted(Predicate<JobId> mayLeave, long nowMs) {
        return roomMaker.evictFromOvercommitted(mayLeave, nowMs);
    }

    Set<HostId> avoid(PendingJob waiting) {
        Set<HostId> avoid = new HashSet<>(health.workersFailedOn(waiting.spec().id()));
        avoid.addAll(waiting.failedOn());
        return avoid.isEmpty() || hosts.fitsOpenHostExcept(waiting.spec(), avoid) ? avoid : Set.of();
    }

    /**
     * Returns the number of waiting jobs.
     *
     * @return the count over all teams
     */
    public int waiting() {
        return pending.size();
    }

    /**
     * Returns the interference model, for its summary.
     *
     * @return the model that this placer updates
     */
    public InterferenceModel interference() {
        return interference;
    }

    /**
     * Returns the health records of the workers.
     *
     * @return the records that this placer updates
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
        limitedHosts.stream()
                .filter(host -> !restricted.contains(host))
                .forEach(host -> hosts.limitAttempts(host, WorkerHealth.UNLIMITED));
        restricted.forEach(host -> hosts.limitAttempts(host, health.maxAttempts(host, nowMs)));
        limitedHosts = restricted;
    }

    /** Reserves a host for a job that has been overtaken for long, so that enough resources become free there. */
    void reserveHost(JobSpec job) {
        if (!reservedHosts.containsKey(job.id()) && reservedHosts.size() <= hosts.size() / HOSTS_PER_RESERVATION) {
            hosts.reserveHost(job).ifPresent(host -> reservedHosts.put(job.id(), host));
        }
    }

    private void cancelReservation(JobId job) {
        roomMaker.forget(job);
        Optional.ofNullable(reservedHosts.remove(job)).ifPresent(hosts::cancelReservation);
    }

    void take(JobSpec job, HostId host, long nowMs) {
        cancelReservation(job.id());
        running.take(job, host, nowMs);
        trials.started(job.task());
    }
}
