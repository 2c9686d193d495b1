package org.cornelcove.control.leader;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobState;
import org.cornelcove.policy.place.Placer;

/**
 * Synchronizes the placer's table with the durable state, which is authoritative for what holds resources.
 *
 * <p>Each update covers the jobs whose record changed since the last call and the jobs for which the proposal of a
 * decision completed. For each job the feed keeps the placer's view: the job waits, a decision on it is pending, or it
 * holds resources. The record replaces that view:
 *
 * <ul>
 *   <li>an attempt holds resources: restored, unless the placer itself decided on this attempt;
 *   <li>the job waits and no decision is pending: the placer's reservation is released, and the job is submitted again
 *       with its original submission index, so that it keeps its position in the queue;
 *   <li>the job has ended: its resources are released and the job is removed.
 * </ul>
 *
 * <p>A refused or lost command, an attempt placed by an earlier leader whose command is applied late, and a leader that
 * starts with an empty table are thus handled alike. Rejected alternative: passing each outcome to the placer as it
 * arrives, because a command whose outcome never arrives may still be applied.
 *
 * <p>Example: attempt 2 of a job is decided for host h and refused, since an earlier leader filled h. When the outcome
 * arrives, the record still has the job pending, so its reservation on h is released and the job waits again.
 *
 * <p>Not thread-safe.
 */
final class PlacerFeed {
    /** The placer's view of a job. */
    private enum Stage {
        WAITING,
        DECIDED,
        HELD
    }

    /**
     * The state of a job as last passed to the placer.
     *
     * @param stage the placer's view of the job
     * @param attempt the attempt that waits, is decided or holds resources
     * @param host the worker of the attempt, empty for a job that has none
     * @param failures how many attempts had failed
     * @param checkpoint the last one recorded
     */
    private record KnownJob(
            Stage stage, int attempt, Optional<HostId> host, int failures, Optional<String> checkpoint) {
        static KnownJob of(Stage stage, Job job) {
            int attempt = stage == Stage.WAITING ? job.attempt() + 1 : job.attempt();
            return new KnownJob(stage, attempt, job.host(), job.failures(), job.checkpoint());
        }

        KnownJob decided(Optional<HostId> where) {
            return new KnownJob(Stage.DECIDED, attempt, where, failures, checkpoint);
        }

        boolean isOf(Job job) {
            return stage != Stage.WAITING && attempt == job.attempt() && host.equals(job.host());
        }
    }

    private final Placer placer;
    /** Called for each worker that was removed. */
    private final Consumer<HostId> onRemoved;

    private final Map<JobId, KnownJob> knownJobs = new HashMap<>();
    private final Map<HostId, WorkerRecord> workers = new HashMap<>();
    private final Set<JobId> completedDecisions = new LinkedHashSet<>();
    private long lastChange;
    private int requeued;

    PlacerFeed(Placer placer, Consumer<HostId> onRemoved) {
        this.placer = placer;
        this.onRemoved = onRemoved;
    }

    /** Passes all changes since the last call to the placer. */
    void update(Tables tables, Predicate<WorkerRecord> takesWork, long nowMs) {
        updateHosts(tables, takesWork, nowMs);
        Set<JobId> due = new LinkedHashSet<>();
        SortedMap<Long, JobId> changed = tables.jobs().changedAfter(lastChange);
        if (!changed.isEmpty()) {
            due.addAll(changed.values());
            lastChange = changed.lastKey();
        }
        due.addAll(completedDecisions);
        due.forEach(id -> update(id, tables.jobs().find(id), nowMs));
        completedDecisions.clear();
    }

    private void updateHosts(Tables tables, Predicate<WorkerRecord> takesWork, long nowMs) {
        Set<HostId> missing = new HashSet<>(workers.keySet());
        for (WorkerRecord worker : tables.workers().all()) {
            HostId host = worker.host();
            missing.remove(host);
            WorkerRecord before = workers.put(host, worker);
            if (!worker.equals(before)) {
                placer.changeHost(host, worker.availabilityZone(), worker.rack(), worker.capacity(), nowMs);
            }
            placer.setTakesWork(host, takesWork.test(worker));
        }
        missing.forEach(host -> {
            workers.remove(host);
            placer.removeHost(host);
            onRemoved.accept(host);
        });
    }

    private void update(JobId id, Optional<Job> found, long nowMs) {
        KnownJob before = knownJobs.get(id);
        if (found.isPresent() && found.get().holds()) {
            hold(found.get(), before, nowMs);
        } else if (found.isPresent() && found.get().state() == JobState.PENDING) {
            await(found.get(), before, nowMs);
        } else {
            found.ifPresent(job -> end(job, before, nowMs));
            knownJobs.remove(id);
            placer.forget(id, nowMs);
        }
    }

    private void hold(Job job, KnownJob before, long nowMs) {
        if (before == null || !before.isOf(job)) {
            end(job, before, nowMs);
            placer.restore(job.spec(), job.host().orElseThrow(), nowMs);
        } else if (!before.checkpoint().equals(job.checkpoint())) {
            placer.checkpointed(job.id(), nowMs);
        }
        knownJobs.put(job.id(), KnownJob.of(Stage.HELD, job));
    }

    private void await(Job job, KnownJob before, long nowMs) {
        boolean isPending = before != null
                && before.stage() == Stage.DECIDED
                && before.attempt() == job.attempt() + 1
                && !completedDecisions.contains(job.id());
        if (isPending || before != null && before.stage() == Stage.WAITING) {
            return;
        }
        end(job, before, nowMs);
        placer.submit(job.spec(), job.submittedIndex(), Set.copyOf(job.failedHosts()), nowMs);
        knownJobs.put(job.id(), KnownJob.of(Stage.WAITING, job));
    }

    /** Releases what the placer has reserved for the job. */
    private void end(Job job, KnownJob before, long nowMs) {
        if (before == null || before.stage() == Stage.WAITING) {
            return;
        }
        AttemptEnd end = endOf(job, before);
        placer.ended(job.id(), end, nowMs);
        if (before.stage() == Stage.HELD
                && end == AttemptEnd.LOST
                && !job.state().isFinal()) {
            requeued++;
        }
    }

    /**
     * Evicted, lost, cancelled and refused attempts are all mapped to LOST: none counts as a failure of worker or job.
     */
    private static AttemptEnd endOf(Job job, KnownJob before) {
        if (job.failures() > before.failures()) {
            return AttemptEnd.FAILED;
        }
        return job.state() == JobState.FINISHED ? AttemptEnd.FINISHED : AttemptEnd.LOST;
    }

    /** Records that the placer decided on a waiting job, and returns the attempt. */
    AttemptId decided(JobId job, Optional<HostId> host) {
        KnownJob now = knownJobs.get(job).decided(host);
        knownJobs.put(job, now);
        return AttemptId.of(job, now.attempt());
    }

    /** Records that the proposal of a decision completed, with an outcome or exceptionally. */
    void decisionCompleted(JobId job) {
        completedDecisions.add(job);
    }

    /** Returns how many attempts were lost, and their jobs requeued, since the last call. */
    int takeRequeued() {
        int count = requeued;
        requeued = 0;
        return count;
    }
}
