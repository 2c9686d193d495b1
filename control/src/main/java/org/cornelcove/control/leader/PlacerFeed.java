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
 * Keeps the placement's table in step with the durable state, which alone says what holds resources.
 *
 * <p>The placement is told of each job whose record changed since the last call, and of each job for which a decision's
 * outcome came back. For each job the feed remembers what the placement believes: the job waits, a decision on it is
 * under way, or it holds resources. What the record says replaces that belief:
 *
 * <ul>
 *   <li>an attempt holds resources: restored, unless the placement decided on just this attempt;
 *   <li>the job waits and no decision is under way: what the placement reserved is given back, and the job is submitted
 *       again with its first rank, so that it goes back to its old place in the line;
 *   <li>the job is over: freed and forgotten.
 * </ul>
 *
 * <p>So a refused or lost command, an attempt placed by an earlier leader whose command is applied late, and a leader
 * that starts with an empty table are all the same case. Telling the placement of each outcome as it comes lost: a command
 * whose outcome never comes is applied or not all the same.
 *
 * <p>Example: attempt 2 of a job is decided for host h and refused, since an earlier leader filled h. The outcome comes
 * back, the record still says that the job waits, so its place on h is given back and the job waits again.
 *
 * <p>Not thread-safe.
 */
final class PlacerFeed {
    /** What the placement believes of a job. */
    private enum Stage {
        WAITING,
        DECIDED,
        HELD
    }

    /**
     * What the placement was told of a job.
     *
     * @param stage what it believes
     * @param attempt the attempt that waits, is decided or holds resources
     * @param host where, empty for one that waits
     * @param failures how many attempts had failed
     * @param checkpoint the last one recorded
     */
    private record Told(Stage stage, int attempt, Optional<HostId> host, int failures, Optional<String> checkpoint) {
        static Told of(Stage stage, Job job) {
            int attempt = stage == Stage.WAITING ? job.attempt() + 1 : job.attempt();
            return new Told(stage, attempt, job.host(), job.failures(), job.checkpoint());
        }

        Told decided(Optional<HostId> where) {
            return new Told(Stage.DECIDED, attempt, where, failures, checkpoint);
        }

        boolean isOf(Job job) {
            return stage != Stage.WAITING && attempt == job.attempt() && host.equals(job.host());
        }
    }

    private final Placer placer;
    /** Told of each worker that is gone. */
    private final Consumer<HostId> gone;

    private final Map<JobId, Told> told = new HashMap<>();
    private final Map<HostId, WorkerRecord> workers = new HashMap<>();
    private final Set<JobId> answered = new LinkedHashSet<>();
    private long lastChange;
    private int cameBack;

    PlacerFeed(Placer placer, Consumer<HostId> gone) {
        this.placer = placer;
        this.gone = gone;
    }

    /** Brings the placement up to date. */
    void update(Tables tables, Predicate<WorkerRecord> takesWork, long nowMs) {
        updateHosts(tables, takesWork, nowMs);
        Set<JobId> due = new LinkedHashSet<>();
        SortedMap<Long, JobId> changed = tables.jobs().changedAfter(lastChange);
        if (!changed.isEmpty()) {
            due.addAll(changed.values());
            lastChange = changed.lastKey();
        }
        due.addAll(answered);
        due.forEach(id -> update(id, tables.jobs().find(id), nowMs));
        answered.clear();
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
            gone.accept(host);
        });
    }

    private void update(JobId id, Optional<Job> found, long nowMs) {
        Told was = told.get(id);
        if (found.isPresent() && found.get().holds()) {
            hold(found.get(), was, nowMs);
        } else if (found.isPresent() && found.get().state() == JobState.PENDING) {
            await(found.get(), was, nowMs);
        } else {
            found.ifPresent(job -> end(job, was, nowMs));
            told.remove(id);
            placer.forget(id, nowMs);
        }
    }

    private void hold(Job job, Told was, long nowMs) {
        if (was == null || !was.isOf(job)) {
            end(job, was, nowMs);
            placer.restore(job.spec(), job.host().orElseThrow(), nowMs);
        } else if (!was.checkpoint().equals(job.checkpoint())) {
            placer.checkpointed(job.id(), nowMs);
        }
        told.put(job.id(), Told.of(Stage.HELD, job));
    }

    private void await(Job job, Told was, long nowMs) {
        boolean underWay = was != null
                && was.stage() == Stage.DECIDED
                && was.attempt() == job.attempt() + 1
                && !answered.contains(job.id());
        if (underWay || was != null && was.stage() == Stage.WAITING) {
            return;
        }
        end(job, was, nowMs);
        placer.submit(job.spec(), job.submittedIndex(), Set.copyOf(job.failedHosts()), nowMs);
        told.put(job.id(), Told.of(Stage.WAITING, job));
    }

    /** Gives back what the placement believes to be held. */
    private void end(Job job, Told was, long nowMs) {
        if (was == null || was.stage() == Stage.WAITING) {
            return;
        }
        AttemptEnd end = endOf(job, was);
        placer.ended(job.id(), end, nowMs);
        if (was.stage() == Stage.HELD && end == AttemptEnd.LOST && !job.state().isFinal()) {
            cameBack++;
        }
    }

    /** Evicted, lost, cancelled and refused attempts are all alike: they say nothing of the worker or the job. */
    private static AttemptEnd endOf(Job job, Told was) {
        if (job.failures() > was.failures()) {
            return AttemptEnd.FAILED;
        }
        return job.state() == JobState.FINISHED ? AttemptEnd.FINISHED : AttemptEnd.LOST;
    }

    /** Notes that the placement decided on a waiting job, and returns the attempt. */
    AttemptId decided(JobId job, Optional<HostId> host) {
        Told now = told.get(job).decided(host);
        told.put(job, now);
        return AttemptId.of(job, now.attempt());
    }

    /** Notes that the outcome of a decision came back, or that none will. */
    void answered(JobId job) {
        answered.add(job);
    }

    /** Returns how many attempts ended without a result since the last call, so that their jobs wait again. */
    int takeCameBack() {
        int count = cameBack;
        cameBack = 0;
        return count;
    }
}
