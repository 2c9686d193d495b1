package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;

/**
 * Jobs that wait for placement, by priority (urgent jobs and services, then ordinary batch work) and team, ordered by
 * rank within a team. Adding and removing a job scan no other jobs, so mass cancellations stay cheap. Not thread-safe.
 */
final class PendingJobs {
    private static final Comparator<PendingJob> QUEUE_ORDER = Comparator.comparingLong(PendingJob::rank)
            .thenComparing(job -> job.spec().id());

    private final Map<JobId, PendingJob> all = new HashMap<>();
    private final TreeMap<String, TreeSet<PendingJob>> prioritized = new TreeMap<>();
    private final TreeMap<String, TreeSet<PendingJob>> ordinary = new TreeMap<>();

    void add(PendingJob job) {
        if (all.putIfAbsent(job.spec().id(), job) == null) {
            teamsOf(job.spec())
                    .computeIfAbsent(job.spec().team(), t -> new TreeSet<>(QUEUE_ORDER))
                    .add(job);
        }
    }

    Optional<PendingJob> remove(JobId id) {
        PendingJob job = all.remove(id);
        if (job == null) {
            return Optional.empty();
        }
        TreeMap<String, TreeSet<PendingJob>> teams = teamsOf(job.spec());
        TreeSet<PendingJob> jobs = teams.get(job.spec().team());
        jobs.remove(job);
        if (jobs.isEmpty()) {
            teams.remove(job.spec().team());
        }
        return Optional.of(job);
    }

    boolean isEmpty() {
        return all.isEmpty();
    }

    int size() {
        return all.size();
    }

    List<String> teams(boolean hasPriority) {
        return new ArrayList<>((hasPriority ? prioritized : ordinary).keySet());
    }

    /** Returns up to {@code most} jobs from the head of a team's queue, lowest rank first. */
    List<PendingJob> first(String team, boolean hasPriority, int most) {
        TreeSet<PendingJob> jobs = (hasPriority ? prioritized : ordinary).get(team);
        Collection<PendingJob> queue = jobs == null ? List.of() : jobs;
        List<PendingJob> found = new ArrayList<>(Math.min(most, queue.size()));
        for (PendingJob job : queue) {
            if (found.size() == most) {
                break;
            }
            found.add(job);
        }
        return found;
    }

    private TreeMap<String, TreeSet<PendingJob>> teamsOf(JobSpec spec) {
        return hasPriority(spec) ? prioritized : ordinary;
    }

    /** Checks whether a job is placed before ordinary batch work, which may be evicted to make room for it. */
    static boolean hasPriority(JobSpec spec) {
        return spec.urgent() || spec.kind() == JobKind.SERVICE;
    }

    /**
     * A waiting job.
     *
     * @param spec the job
     * @param rank its position in its team's queue, lowest first
     * @param failedOn the hosts on which it failed under an earlier leader
     * @param sinceMs the time from which it has waited, in ms
     */
    record PendingJob(JobSpec spec, long rank, Set<HostId> failedOn, long sinceMs) {}
}
