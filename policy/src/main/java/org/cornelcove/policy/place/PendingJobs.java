package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobSpec;

/**
 * Jobs that wait for a place, by urgency and team, in the order of their submission within a team. Adding and removing
 * take constant time, so that a wave of cancellations costs no scan. Not thread-safe.
 */
final class PendingJobs {
    private final Map<JobId, PendingJob> all = new HashMap<>();
    private final TreeMap<String, LinkedHashMap<JobId, PendingJob>> urgent = new TreeMap<>();
    private final TreeMap<String, LinkedHashMap<JobId, PendingJob>> ordinary = new TreeMap<>();

    void add(PendingJob job) {
        if (all.putIfAbsent(job.spec().id(), job) == null) {
            teamsOf(job.spec())
                    .computeIfAbsent(job.spec().team(), t -> new LinkedHashMap<>())
                    .put(job.spec().id(), job);
        }
    }

    Optional<PendingJob> remove(JobId id) {
        PendingJob job = all.remove(id);
        if (job == null) {
            return Optional.empty();
        }
        TreeMap<String, LinkedHashMap<JobId, PendingJob>> teams = teamsOf(job.spec());
        LinkedHashMap<JobId, PendingJob> jobs = teams.get(job.spec().team());
        jobs.remove(id);
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

    List<String> teams(boolean urgentOnes) {
        return new ArrayList<>((urgentOnes ? urgent : ordinary).keySet());
    }

    /** Returns the first jobs of a team, oldest first. */
    List<PendingJob> first(String team, boolean urgentOnes, int most) {
        LinkedHashMap<JobId, PendingJob> jobs = (urgentOnes ? urgent : ordinary).get(team);
        Collection<PendingJob> line = jobs == null ? List.of() : jobs.values();
        List<PendingJob> first = new ArrayList<>(Math.min(most, line.size()));
        for (PendingJob job : line) {
            if (first.size() == most) {
                break;
            }
            first.add(job);
        }
        return first;
    }

    private TreeMap<String, LinkedHashMap<JobId, PendingJob>> teamsOf(JobSpec spec) {
        return spec.urgent() ? urgent : ordinary;
    }

    /**
     * A job that waits.
     *
     * @param spec what was asked for
     * @param sinceMs since when
     */
    record PendingJob(JobSpec spec, long sinceMs) {}
}
