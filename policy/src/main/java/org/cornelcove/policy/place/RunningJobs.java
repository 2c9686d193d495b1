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

/** The jobs that hold resources, kept in step with the hosts, the quotas and the history. Not thread-safe. */
final class RunningJobs {
    private final HostTable hosts;
    private final TeamQuotas quotas;
    private final PlacementHistory history;
    private final Map<JobId, RunningJob> running = new HashMap<>();
    private final Set<JobId> throttled = new HashSet<>();
    /** Those that were told to make room. */
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
        RunningJob was = running.remove(job);
        if (was == null) {
            return Optional.empty();
        }
        leaving.remove(job);
        if (throttled.remove(job)) {
            hosts.setThrottled(was.host, was.spec, false);
        }
        hosts.release(was.host, was.spec);
        quotas.release(was.spec.team(), was.spec.resources());
        history.note(was.host, hosts.batchRates(was.host), nowMs);
        return Optional.of(was);
    }

    /** Notes on a host that was put into the table anew what runs there. */
    void takeAgain(HostId host, long nowMs) {
        for (RunningJob was : running.values()) {
            if (was.host.equals(host)) {
                hosts.take(host, was.spec);
                if (throttled.contains(was.spec.id())) {
                    hosts.setThrottled(host, was.spec, true);
                }
            }
        }
        history.note(host, hosts.batchRates(host), nowMs);
    }

    void leave(JobId job) {
        if (running.containsKey(job)) {
            leaving.add(job);
        }
    }

    /** Returns what is given back on the host by those that were told to make room. */
    Resources leavingOn(HostId host) {
        Resources amount = Resources.NONE;
        for (JobId job : leaving) {
            RunningJob was = running.get(job);
            amount = was.host.equals(host) ? amount.plus(was.spec.resources()) : amount;
        }
        return amount;
    }

    void checkpointed(JobId job, long nowMs) {
        running.computeIfPresent(job, (id, was) -> new RunningJob(was.spec, was.host, nowMs));
    }

    void setThrottled(JobId job, boolean isThrottled, long nowMs) {
        RunningJob was = running.get(job);
        if (was == null || isThrottled == throttled.contains(job)) {
            return;
        }
        if (isThrottled) {
            throttled.add(job);
        } else {
            throttled.remove(job);
        }
        hosts.setThrottled(was.host, was.spec, isThrottled);
        history.note(was.host, hosts.batchRates(was.host), nowMs);
    }

    double disturbance(JobId job) {
        RunningJob was = running.get(job);
        return was == null ? 0 : hosts.disturbance(was.host, was.spec.task());
    }

    /** Returns the batch work that is not urgent and may leave, on hosts that pass. */
    List<Preemption.Candidate> evictable(Predicate<HostId> mayGive, Predicate<JobId> mayLeave, long nowMs) {
        List<Preemption.Candidate> candidates = new ArrayList<>();
        for (RunningJob was : running.values()) {
            boolean ordinary = was.spec.kind() == JobKind.BATCH && !was.spec.urgent();
            boolean stays = leaving.contains(was.spec.id()) || !mayLeave.test(was.spec.id());
            if (ordinary && !stays && mayGive.test(was.host)) {
                candidates.add(new Preemption.Candidate(was.spec, was.host, nowMs - was.savedMs));
            }
        }
        return candidates;
    }

    /**
     * A job that holds its resources.
     *
     * @param spec the job
     * @param host where
     * @param savedMs when its last checkpoint was taken, or its start
     */
    record RunningJob(JobSpec spec, HostId host, long savedMs) {}
}
