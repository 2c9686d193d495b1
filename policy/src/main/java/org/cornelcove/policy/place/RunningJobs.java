package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.policy.learn.PlacementHistory;

/** The running jobs. Every change also updates the host table, the team quotas and the history. Not thread-safe. */
final class RunningJobs {
    private final HostTable hosts;
    private final TeamQuotas quotas;
    private final PlacementHistory history;
    private final Map<JobId, RunningJob> running = new HashMap<>();
    private final Set<JobId> throttled = new HashSet<>();
    /** Jobs selected for eviction whose attempts have not ended yet. */
    private final Set<JobId> leaving = new HashSet<>();

    RunningJobs(HostTable hosts, TeamQuotas quotas, PlacementHistory history) {
        this.hosts = hosts;
        this.quotas = quotas;
        this.history = history;
    }

    void take(JobSpec job, HostId host, long nowMs) {
        running.put(job.id(), new RunningJob(job, host, nowMs));
        hosts.take(host, job);
        quotas.take(job.team(), job.resources());
        history.note(host, hosts.batchRates(host), nowMs);
    }

    Optional<RunningJob> free(JobId job, long nowMs) {
        RunningJob found = running.remove(job);
        if (found == null) {
            return Optional.empty();
        }
        leaving.remove(job);
        if (throttled.remove(job)) {
            hosts.setThrottled(found.host, found.spec, false);
        }
        hosts.release(found.host, found.spec);
        quotas.release(found.spec.team(), found.spec.resources());
        history.note(found.host, hosts.batchRates(found.host), nowMs);
        return Optional.of(found);
    }

    /** Allocates the running jobs of a host again after the host was replaced in the table. */
    void reallocate(HostId host, long nowMs) {
        for (RunningJob found : running.values()) {
            if (found.host.equals(host)) {
                hosts.take(host, found.spec);
                if (throttled.contains(found.spec.id())) {
                    hosts.setThrottled(host, found.spec, true);
                }
            }
        }
        history.note(host, hosts.batchRates(host), nowMs);
    }

    void markLeaving(JobId job) {
        if (running.containsKey(job)) {
            leaving.add(job);
        }
    }

    /** Returns the resources that the jobs selected for eviction will release on the host. */
    Resources leavingOn(HostId host) {
        Resources amount = Resources.NONE;
        for (JobId job : leaving) {
            RunningJob found = running.get(job);
            amount = found.host.equals(host) ? amount.plus(found.spec.resources()) : amount;
        }
        return amount;
    }

    void checkpointed(JobId job, long nowMs) {
        running.computeIfPresent(job, (id, found) -> new RunningJob(found.spec, found.host, nowMs));
    }

    void setThrottled(JobId job, boolean isThrottled, long nowMs) {
        RunningJob found = running.get(job);
        if (found == null || isThrottled == throttled.contains(job)) {
            return;
        }
        if (isThrottled) {
            throttled.add(job);
        } else {
            throttled.remove(job);
        }
        hosts.setThrottled(found.host, found.spec, isThrottled);
        history.note(found.host, hosts.batchRates(found.host), nowMs);
    }

    double disturbance(JobId job) {
        RunningJob found = running.get(job);
        return found == null ? 0 : hosts.disturbance(found.host, found.spec.task());
    }

    /** Returns the evictable batch jobs that are not urgent, on the hosts that pass the filter. */
    List<Preemption.Candidate> evictable(Predicate<HostId> mayEvictOn, Predicate<JobId> mayLeave, long nowMs) {
        List<Preemption.Candidate> candidates = new ArrayList<>();
        for (RunningJob found : running.values()) {
            boolean ordinary = found.spec.kind() == JobKind.BATCH && !found.spec.urgent();
            boolean stays = leaving.contains(found.spec.id()) || !mayLeave.test(found.spec.id());
            if (ordinary && !stays && mayEvictOn.test(found.host)) {
                candidates.add(new Preemption.Candidate(found.spec, found.host, nowMs - found.savedMs));
            }
        }
        return candidates;
    }

    /**
     * A running job.
     *
     * @param spec the job
     * @param host the host it runs on
     * @param savedMs the time of its last checkpoint, or of its start if it has none, in ms
     */
    record RunningJob(JobSpec spec, HostId host, long savedMs) {}
}
