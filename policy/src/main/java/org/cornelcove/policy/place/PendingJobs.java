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
 * Jobs that wait for a place, by whether they go first and by team, in the order of their ranks within a team. Adding and
 * removing look at no other job, so that a wave of cancellations costs no scan. Not thread-safe.
 */
final class PendingJobs {
    private static final Comparator<PendingJob> LINE = Comparator.comparingLong(PendingJob::rank)
            .thenComparing(job -> job.spec().id());

    private final Map<JobId, PendingJob> all = new HashMap<>();
    private final TreeMap<String, TreeSet<PendingJob>> first = new TreeMap<>();
    private final TreeMap<String, TreeSet<PendingJob>> ordinary = new TreeMap<>();

    void add(PendingJob job) {
        if (all.putIfAbsent(job.spec().id(), job) == null) {
            teamsOf(job.spec())
                    .computeIfAbsent(job.spec().team(), t -> new TreeSet<>(LINE))
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

    List<String> teams(boolean goingFirst) {
        return new ArrayList<>((goingFirst ? first : ordinary).keySet());
    }

    /** Returns the first jobs of a team, oldest first. */
    List<PendingJob> first(String team, boolean goingFirst, int most) {
        TreeSet<PendingJob> jobs = (goingFirst ? first : ordinary).get(team);
        Collection<PendingJob> line = jobs == null ? List.of() : jobs;
        List<PendingJob> found = new ArrayList<>(Math.min(most, line.size()));
        for (PendingJob job : line) {
            if (found.size() == most) {
                break;
            }
            found.add(job);
        }
        return found;
    }

    private TreeMap<String, TreeSet<PendingJob>> teamsOf(JobSpec spec) {
        return goesFirst(spec) ? first : ordinary;
    }

    /** Tells whether a job goes before ordinary batch work, which makes room for it where none is left. */
    static boolean goesFirst(JobSpec spec) {
        return spec.urgent() || spec.kind() == JobKind.SERVICE;
    }

    /**
     * A job that waits.
     *
     * @param spec what was asked for
     * @param rank its place in the line of its team, lowest first
     * @param failedOn hosts that it failed on under an earlier leader
     * @param sinceMs since when
     */
    record PendingJob(JobSpec spec, long rank, Set<HostId> failedOn, long sinceMs) {}
}
