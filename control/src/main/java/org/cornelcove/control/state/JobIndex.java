package org.cornelcove.control.state;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;

/**
 * All jobs with the indexes derived from them: holdings by host and by team, ended jobs, and the order of changes. Every
 * change goes through {@link #put} or {@link #trimEnded}, which subtract the old job from each index and add the new one,
 * so that the indexes always match the jobs.
 */
final class JobIndex {
    private final Map<JobId, Job> jobs = new HashMap<>();
    private final Map<HostId, Holding> heldByHost = new HashMap<>();
    private final Map<HostId, TreeSet<JobId>> jobsByHost = new HashMap<>();
    private final Map<String, Holding> heldByTeam = new HashMap<>();

    /** The jobs by the number of their last change, for incremental readers. Derived and not part of a snapshot. */
    private final TreeMap<Long, JobId> changes = new TreeMap<>();

    private final Map<JobId, Long> changeNumbers = new HashMap<>();
    private long lastChangeNumber;

    /** Ended jobs that hold nothing, by the log index at which they ended. */
    private final TreeMap<Long, JobId> ended = new TreeMap<>();

    Optional<Job> find(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    Map<JobId, Job> all() {
        return Collections.unmodifiableMap(jobs);
    }

    Holding heldOn(HostId host) {
        return heldByHost.getOrDefault(host, Holding.NONE);
    }

    Set<JobId> jobsOn(HostId host) {
        TreeSet<JobId> found = jobsByHost.get(host);
        return found == null ? Set.of() : Collections.unmodifiableSet(found);
    }

    Set<HostId> hostsInUse() {
        return Collections.unmodifiableSet(jobsByHost.keySet());
    }

    Holding heldBy(String team) {
        return heldByTeam.getOrDefault(team, Holding.NONE);
    }

    /** Returns the jobs changed after the given change, by the number of their last change. */
    SortedMap<Long, JobId> changedAfter(long change) {
        return Collections.unmodifiableSortedMap(changes.tailMap(change + 1));
    }

    void clear() {
        changes.clear();
        changeNumbers.clear();
        jobs.clear();
        heldByHost.clear();
        jobsByHost.clear();
        heldByTeam.clear();
        ended.clear();
    }

    void put(Job job) {
        Job old = jobs.put(job.id(), job);
        if (old != null) {
            removeFromIndexes(old);
        }
        addToIndexes(job);
        recordChange(job.id());
    }

    private void recordChange(JobId id) {
        Long previous = changeNumbers.put(id, ++lastChangeNumber);
        if (previous != null) {
            changes.remove(previous);
        }
        changes.put(lastChangeNumber, id);
    }

    /** Removes the jobs that ended first until at most the given number of ended jobs is left. */
    void trimEnded(int maxEnded) {
        while (ended.size() > maxEnded) {
            Job old = jobs.remove(ended.firstEntry().getValue());
            removeFromIndexes(old);
            changes.remove(changeNumbers.remove(old.id()));
        }
    }

    private void addToIndexes(Job job) {
        job.host().ifPresent(host -> hold(job, host));
        if (job.state().isFinal() && !job.holds()) {
            ended.put(job.endedIndex(), job.id());
        }
    }

    private void removeFromIndexes(Job job) {
        job.host().ifPresent(host -> release(job, host));
        if (job.state().isFinal() && !job.holds()) {
            ended.remove(job.endedIndex());
        }
    }

    private void hold(Job job, HostId host) {
        boolean isBatch = job.spec().kind() == JobKind.BATCH;
        heldByHost.merge(
                host,
                Holding.NONE.plus(job.spec().resources(), isBatch),
                (held, one) -> held.plus(job.spec().resources(), isBatch));
        jobsByHost.computeIfAbsent(host, any -> new TreeSet<>()).add(job.id());
        heldByTeam.merge(
                job.spec().team(),
                Holding.NONE.plus(job.spec().resources(), isBatch),
                (held, one) -> held.plus(job.spec().resources(), isBatch));
    }

    private void release(Job job, HostId host) {
        heldByHost.computeIfPresent(host, (any, held) -> withoutJob(held, job));
        heldByTeam.computeIfPresent(job.spec().team(), (any, held) -> withoutJob(held, job));
        TreeSet<JobId> jobIds = jobsByHost.get(host);
        jobIds.remove(job.id());
        if (jobIds.isEmpty()) {
            jobsByHost.remove(host);
        }
    }

    private static Holding withoutJob(Holding held, Job job) {
        Holding rest = held.minus(job.spec().resources(), job.spec().kind() == JobKind.BATCH);
        return rest.attempts() == 0 ? null : rest;
    }
}
