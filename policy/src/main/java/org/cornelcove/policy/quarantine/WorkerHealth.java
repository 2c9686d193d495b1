package org.cornelcove.policy.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;

/**
 * Distinguishes workers on which every job fails from jobs that fail on every worker.
 *
 * <p>A failure is attributed to the worker while the job has failed on no other worker. Once the job has failed on a
 * second healthy worker, the failures are attributed to the job and removed from both workers' records. Failures of three
 * distinct jobs without a success in between put a worker into quarantine: it gets no work for a period that doubles each
 * time, then is on probation with one attempt at a time until a few have succeeded, or none has failed for some time. One
 * failure on probation starts the next quarantine. Failures on a quarantined worker do not count towards the job's attempt limit.
 *
 * <p>At most the configured share of the workers is in quarantine, rounded down. Above that share a worker is limited to
 * one attempt at a time instead, so that a common cause (such as a broken image) cannot take the whole cluster out of
 * service. Counting only failures per worker was rejected: a job that fails everywhere would quarantine one healthy
 * worker after another.
 *
 * <p>Not thread-safe.
 */
public final class WorkerHealth {
    /** Attempt limit of a healthy worker: none. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    private static final int DISTINCT_JOBS = 3;
    private static final long FIRST_QUARANTINE_MS = 60_000;
    private static final int MAX_DOUBLINGS = 6;
    private static final int PROBATION_SUCCESSES = 3;
    /** Time without a failure, after any quarantine, after which a restriction ends: an attempt may take hours to succeed. */
    private static final long RESTRICTION_MS = 600_000;

    private final Map<HostId, Record> workers = new HashMap<>();
    private final Map<JobId, Set<HostId>> failedOn = new HashMap<>();
    /** Workers in quarantine, on probation, or limited. */
    private final Set<HostId> restricted = new HashSet<>();

    private int maxPercent;

    private WorkerHealth(int maxPercent) {
        this.maxPercent = maxPercent;
    }

    /**
     * Returns empty records.
     *
     * @param maxPercent the maximum percentage of the workers in quarantine at the same time
     * @return records without any worker
     */
    public static WorkerHealth of(int maxPercent) {
        return new WorkerHealth(maxPercent);
    }

    /**
     * Changes the quarantine limit for a new configuration.
     *
     * @param percent the maximum percentage of the workers in quarantine at the same time
     */
    public void setMaxPercent(int percent) {
        maxPercent = percent;
    }

    /**
     * Adds a healthy worker; a known worker keeps its record.
     *
     * @param host the worker
     */
    public void add(HostId host) {
        workers.computeIfAbsent(host, h -> new Record());
    }

    /**
     * Removes a worker and its record.
     *
     * @param host the worker
     */
    public void remove(HostId host) {
        workers.remove(host);
        restricted.remove(host);
    }

    /**
     * Removes the failures of a job that reached its final state.
     *
     * @param job the job
     */
    public void forget(JobId job) {
        failedOn.remove(job);
    }

    /**
     * Records a success.
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
        worker.attributedJobs.clear();
        worker.limited = false;
        if (worker.probationLeft > 0) {
            worker.probationLeft--;
            if (worker.probationLeft == 0) {
                worker.quarantines = 0;
            }
        }
        if (worker.probationLeft == 0) {
            restricted.remove(host);
        }
    }

    /**
     * Records a failure; ignored while the worker is in quarantine.
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
        liftIfOld(host, worker, nowMs);
        worker.lastFailedMs = nowMs;
        worker.attributedJobs.add(job);
        int enough = worker.probationLeft > 0 ? 1 : DISTINCT_JOBS;
        if (worker.attributedJobs.size() >= enough) {
            quarantineOrLimit(host, worker, nowMs);
        }
    }

    /**
     * Returns the number of distinct healthy workers on which the job failed.
     *
     * @param job the job
     * @return the count; 0 for an unknown job
     */
    public int healthyWorkersFailedOn(JobId job) {
        return failedOn.getOrDefault(job, Set.of()).size();
    }

    /**
     * Returns the healthy workers on which the job failed.
     *
     * @param job the job
     * @return the workers; empty for an unknown job
     */
    public Set<HostId> workersFailedOn(JobId job) {
        return Set.copyOf(failedOn.getOrDefault(job, Set.of()));
    }

    /**
     * Returns the maximum number of concurrent attempts of a worker.
     *
     * @param host the worker
     * @param nowMs the current instant
     * @return 0 in quarantine, 1 on probation or while limited, else {@link #UNLIMITED}
     */
    public int maxAttempts(HostId host, long nowMs) {
        Record worker = workers.get(host);
        if (worker == null) {
            return UNLIMITED;
        }
        if (worker.isQuarantined(nowMs)) {
            return 0;
        }
        liftIfOld(host, worker, nowMs);
        return worker.limited || worker.probationLeft > 0 ? 1 : UNLIMITED;
    }

    /**
     * Returns the workers in quarantine, on probation or limited.
     *
     * @return the workers; empty if all are healthy
     */
    public Set<HostId> restricted() {
        return Set.copyOf(restricted);
    }

    /**
     * Returns the number of workers in quarantine.
     *
     * @param nowMs the current instant
     * @return the count
     */
    public int quarantined(long nowMs) {
        return (int)
                workers.values().stream().filter(w -> w.isQuarantined(nowMs)).count();
    }

    /** Quarantines or, at the quarantine limit, limits a worker; its failures no longer count against the jobs. */
    private void quarantineOrLimit(HostId host, Record worker, long nowMs) {
        for (JobId job : worker.attributedJobs) {
            failedOn.computeIfPresent(job, (j, hosts) -> {
                hosts.remove(host);
                return hosts.isEmpty() ? null : hosts;
            });
        }
        worker.attributedJobs.clear();
        worker.limited = true;
        restricted.add(host);
        if ((quarantined(nowMs) + 1) * 100 <= maxPercent * workers.size()) {
            worker.untilMs = nowMs + (FIRST_QUARANTINE_MS << Math.min(worker.quarantines, MAX_DOUBLINGS));
            worker.quarantines++;
            worker.probationLeft = PROBATION_SUCCESSES;
            worker.limited = false;
        }
    }

    private void liftIfOld(HostId host, Record worker, long nowMs) {
        if (worker.liftIfOld(nowMs)) {
            restricted.remove(host);
        }
    }

    private void clear(HostId host, JobId job) {
        Record worker = workers.get(host);
        if (worker != null) {
            worker.attributedJobs.remove(job);
        }
    }

    private static final class Record {
        private final Set<JobId> attributedJobs = new LinkedHashSet<>();
        private long untilMs = Long.MIN_VALUE;
        private int quarantines;
        private int probationLeft;
        /** True if the worker would be in quarantine but the quarantine limit was reached. */
        private boolean limited;

        private long lastFailedMs = Long.MIN_VALUE;

        boolean isQuarantined(long nowMs) {
            return nowMs < untilMs;
        }

        /** Ends the restriction, and forgets failures, when they are too old; returns whether it did. */
        boolean liftIfOld(long nowMs) {
            boolean judged = limited || probationLeft > 0 || !attributedJobs.isEmpty();
            if (!judged || nowMs < Math.max(untilMs, lastFailedMs) + RESTRICTION_MS) {
                return false;
            }
            attributedJobs.clear();
            limited = false;
            probationLeft = 0;
            quarantines = 0;
            return true;
        }
    }
}
