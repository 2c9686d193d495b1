package org.cornelcove.policy.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;

/**
 * Tells workers that fail everything from jobs that fail everywhere.
 *
 * <p>A failure is held against the worker while the job has failed nowhere else. Once the job has failed on a second
 * worker in good standing, the job is at fault and both workers are cleared of it. Three distinct jobs in a row without a
 * success in between put a worker into quarantine: it gets no work for a term that doubles each time, then one attempt at
 * a time until a few have succeeded; one failure on probation sends it back. What its jobs lost there counts neither
 * against them nor towards their last attempt.
 *
 * <p>At most the stated share of the fleet is in quarantine, rounded down. Beyond it a worker is limited to one attempt
 * at a time, so that a cause common to all (a broken image) can't close the cluster. Counting failures a worker alone
 * lost: a job that fails everywhere would take one healthy worker after the other down with it.
 *
 * <p>Not thread-safe.
 */
public final class WorkerHealth {
    /** Attempts allowed on a worker in good standing. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    private static final int DISTINCT_JOBS = 3;
    private static final long FIRST_TERM_MS = 60_000;
    private static final int MAX_DOUBLINGS = 6;
    private static final int PROBATION_SUCCESSES = 3;

    private final Map<HostId, Record> workers = new HashMap<>();
    private final Map<JobId, Set<HostId>> failedOn = new HashMap<>();
    /** Workers in quarantine, on probation, or limited. */
    private final Set<HostId> restricted = new HashSet<>();

    private int maxPercent;

    private WorkerHealth(int maxPercent) {
        this.maxPercent = maxPercent;
    }

    /**
     * Returns an object that trusts every worker.
     *
     * @param maxPercent the largest share of the workers in quarantine at once
     * @return the object
     */
    public static WorkerHealth of(int maxPercent) {
        return new WorkerHealth(maxPercent);
    }

    /**
     * Changes the bound, for a new configuration.
     *
     * @param percent the largest share of the workers in quarantine at once
     */
    public void setMaxPercent(int percent) {
        maxPercent = percent;
    }

    /**
     * Adds a worker in good standing; a known one keeps its record.
     *
     * @param host the worker
     */
    public void add(HostId host) {
        workers.computeIfAbsent(host, h -> new Record());
    }

    /**
     * Forgets a worker that is gone.
     *
     * @param host the worker
     */
    public void remove(HostId host) {
        workers.remove(host);
        restricted.remove(host);
    }

    /**
     * Forgets a job that reached its final state.
     *
     * @param job the job
     */
    public void forget(JobId job) {
        failedOn.remove(job);
    }

    /**
     * Learns from a success.
     *
     * @param host the worker
     * @param job the job
     */
    public void succeeded(HostId host, JobId job) {
        failedOn.remove(job);
        Record worker = workers.get(host);
        if (worker == null) {
            return;
        }
        worker.blamedFor.clear();
        worker.limited = false;
        if (worker.probationLeft > 0) {
            worker.probationLeft--;
            if (worker.probationLeft == 0) {
                worker.terms = 0;
            }
        }
        if (worker.probationLeft == 0) {
            restricted.remove(host);
        }
    }

    /**
     * Learns from a failure.
     *
     * @param host the worker
     * @param job the job
     * @param nowMs the current instant
     */
    public void failed(HostId host, JobId job, long nowMs) {
        Record worker = workers.get(host);
        if (worker == null || worker.isQuarantined(nowMs)) {
            return;
        }
        Set<HostId> others = failedOn.computeIfAbsent(job, j -> new HashSet<>());
        others.add(host);
        if (others.size() > 1) {
            others.forEach(other -> clear(other, job));
            return;
        }
        worker.blamedFor.add(job);
        int enough = worker.probationLeft > 0 ? 1 : DISTINCT_JOBS;
        if (worker.blamedFor.size() >= enough) {
            punish(host, worker, nowMs);
        }
    }

    /**
     * Returns on how many distinct workers in good standing the job failed.
     *
     * @param job the job
     * @return the number
     */
    public int healthyWorkersFailedOn(JobId job) {
        return failedOn.getOrDefault(job, Set.of()).size();
    }

    /**
     * Returns the workers in good standing on which the job failed.
     *
     * @param job the job
     * @return the workers
     */
    public Set<HostId> workersFailedOn(JobId job) {
        return Set.copyOf(failedOn.getOrDefault(job, Set.of()));
    }

    /**
     * Returns how many attempts the worker may run at once.
     *
     * @param host the worker
     * @param nowMs the current instant
     * @return 0 in quarantine, 1 on probation, {@link #UNLIMITED} in good standing
     */
    public int maxAttempts(HostId host, long nowMs) {
        Record worker = workers.get(host);
        if (worker == null) {
            return UNLIMITED;
        }
        if (worker.isQuarantined(nowMs)) {
            return 0;
        }
        return worker.limited || worker.probationLeft > 0 ? 1 : UNLIMITED;
    }

    /**
     * Returns the workers that are not in good standing.
     *
     * @return the workers
     */
    public Set<HostId> restricted() {
        return Set.copyOf(restricted);
    }

    /**
     * Returns how many workers are in quarantine.
     *
     * @param nowMs the current instant
     * @return the number
     */
    public int quarantined(long nowMs) {
        return (int)
                workers.values().stream().filter(w -> w.isQuarantined(nowMs)).count();
    }

    /** Quarantines within the bound, else limits; either way the worker's failures no longer count against the jobs. */
    private void punish(HostId host, Record worker, long nowMs) {
        for (JobId job : worker.blamedFor) {
            failedOn.computeIfPresent(job, (j, hosts) -> {
                hosts.remove(host);
                return hosts.isEmpty() ? null : hosts;
            });
        }
        worker.blamedFor.clear();
        worker.limited = true;
        restricted.add(host);
        if ((quarantined(nowMs) + 1) * 100 <= maxPercent * workers.size()) {
            worker.untilMs = nowMs + (FIRST_TERM_MS << Math.min(worker.terms, MAX_DOUBLINGS));
            worker.terms++;
            worker.probationLeft = PROBATION_SUCCESSES;
            worker.limited = false;
        }
    }

    private void clear(HostId host, JobId job) {
        Record worker = workers.get(host);
        if (worker != null) {
            worker.blamedFor.remove(job);
        }
    }

    private static final class Record {
        private final Set<JobId> blamedFor = new LinkedHashSet<>();
        private long untilMs = Long.MIN_VALUE;
        private int terms;
        private int probationLeft;
        /** Suspected while the share of the fleet in quarantine is used up. */
        private boolean limited;

        boolean isQuarantined(long nowMs) {
            return nowMs < untilMs;
        }
    }
}
