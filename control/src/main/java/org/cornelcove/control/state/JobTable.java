package org.cornelcove.control.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;

import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.RecordCheckpoint;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.RejectJob;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;

/**
 * The jobs and their attempts.
 *
 * <p>States: {@code PENDING -> PLACED -> FINISHED}, with {@code PLACED -> PENDING} when an attempt was evicted, lost or
 * failed and may be tried again, and {@code FAILED} or {@code CANCELLED} as the other final states. Invariants:
 *
 * <ul>
 *   <li>at most one attempt of a job holds resources, and it is the one with the highest number;
 *   <li>what a host holds is within its capacity at each placement; this is checked here, where commands are applied in
 *       one order, because a check by the leader alone could pass on two leaders at once;
 *   <li>a final state never changes, so completion and cancellation are decided by whichever is applied first;
 *   <li>a cancelled job whose attempt runs keeps its resources until the end of the attempt is recorded: freeing them
 *       with the cancellation would let the host be overcommitted while the task still runs there.
 * </ul>
 *
 * <p>Example: attempt 1 is placed, the worker reports {@code EVICTED} with checkpoint c7; one command frees the host
 * and requeues the job from c7; when the report is repeated, attempt 1 no longer holds resources and nothing changes.
 */
public final class JobTable {
    /** The number of ended jobs that are kept; a resent submission of a job that was removed counts as new. */
    public static final int KEPT_ENDED_JOBS = 10_000;

    private final JobIndex index = new JobIndex();
    private final WorkerTable workers;
    private final int keptEndedJobs;

    JobTable(WorkerTable workers, int keptEndedJobs) {
        this.workers = workers;
        this.keptEndedJobs = keptEndedJobs;
    }

    Outcome submit(long logIndex, SubmitJob command, RuleSet rules) {
        JobSpec spec = command.spec();
        Optional<Job> existing = index.find(spec.id());
        if (existing.isPresent()) {
            return existing.get().spec().equals(spec)
                    ? new Done(existing.get().submittedIndex())
                    : refused(ErrorKind.JOB_CONFLICT, spec.id());
        }
        Optional<Failure> invalid = JobCheck.validate(spec, rules);
        if (invalid.isPresent()) {
            return new Refused(invalid.get());
        }
        if (neverFits(spec, rules)) {
            return refused(ErrorKind.JOB_NEVER_FITS, spec.id());
        }
        index.put(Job.submitted(spec, logIndex));
        return new Done(logIndex);
    }

    Outcome cancel(long logIndex, CancelJob command) {
        Job job = index.find(command.job()).orElse(null);
        if (job == null) {
            return refused(ErrorKind.JOB_UNKNOWN, command.job());
        }
        if (job.state() == JobState.CANCELLED) {
            return new Done(job.endedIndex());
        }
        if (job.state().isFinal()) {
            return refused(ErrorKind.JOB_ALREADY_ENDED, job.id(), job.state());
        }
        index.put(job.ended(JobState.CANCELLED, "cancelled", logIndex));
        index.trimEnded(keptEndedJobs);
        return new Done(logIndex);
    }

    Outcome reject(long logIndex, RejectJob command, RuleSet rules) {
        Job job = index.find(command.job()).orElse(null);
        if (job == null) {
            return refused(ErrorKind.JOB_UNKNOWN, command.job());
        }
        if (job.state().isFinal()) {
            return refused(ErrorKind.JOB_ALREADY_ENDED, job.id(), job.state());
        }
        Optional<WorkerRecord> suitable = workers.couldHold(job.spec(), rules.batch());
        if (job.state() == JobState.PLACED || suitable.isPresent()) {
            return refused(
                    ErrorKind.JOB_RUNNABLE,
                    job.id(),
                    suitable.map(WorkerRecord::host).or(job::host).get());
        }
        index.put(job.ended(JobState.FAILED, command.reason(), logIndex));
        index.trimEnded(keptEndedJobs);
        return new Done(logIndex);
    }

    Outcome place(long logIndex, PlaceAttempt command, RuleSet rules) {
        AttemptId attempt = command.attempt();
        Job job = index.find(attempt.job()).orElse(null);
        if (job == null) {
            return refused(ErrorKind.JOB_UNKNOWN, attempt.job());
        }
        if (job.state().isFinal()) {
            return refused(ErrorKind.JOB_ALREADY_ENDED, job.id(), job.state());
        }
        if (job.holds(attempt) && job.host().get().equals(command.host())) {
            return new Done(logIndex);
        }
        if (job.state() != JobState.PENDING || attempt.number() != job.attempt() + 1) {
            return refused(ErrorKind.ATTEMPT_STALE, attempt);
        }
        WorkerRecord worker = workers.find(command.host()).orElse(null);
        if (worker == null) {
            return refused(ErrorKind.HOST_UNKNOWN, command.host());
        }
        if (!FitCheck.fits(job.spec(), worker.capacity(), index.heldOn(worker.host()), rules.batch())) {
            return refused(ErrorKind.HOST_FULL, attempt, worker.host());
        }
        Optional<Failure> exceeded = checkQuota(job.spec(), rules);
        if (exceeded.isPresent()) {
            return new Refused(exceeded.get());
        }
        index.put(job.placed(worker.host(), worker.incarnation()));
        return new Done(logIndex);
    }

    Outcome checkpoint(long logIndex, RecordCheckpoint command) {
        Job job = index.find(command.attempt().job()).orElse(null);
        if (job == null || !job.holds(command.attempt()) || job.state().isFinal()) {
            return refused(ErrorKind.ATTEMPT_STALE, command.attempt());
        }
        index.put(job.checkpointed(Optional.of(command.checkpoint())));
        return new Done(logIndex);
    }

    Outcome end(long logIndex, EndAttempt command, RuleSet rules) {
        Job job = index.find(command.attempt().job()).orElse(null);
        if (job == null || !job.holds(command.attempt())) {
            return refused(ErrorKind.ATTEMPT_STALE, command.attempt());
        }
        index.put(job.state().isFinal() ? job.freed() : afterEnd(logIndex, job, command, rules));
        index.trimEnded(keptEndedJobs);
        return new Done(logIndex);
    }

    private Job afterEnd(long logIndex, Job job, EndAttempt command, RuleSet rules) {
        switch (command.end()) {
            case FINISHED:
                return job.checkpointed(command.checkpoint())
                        .ended(JobState.FINISHED, "", logIndex)
                        .freed();
            case FAILED:
                return afterFailure(logIndex, job, command, rules);
            case EVICTED:
            case LOST:
            default:
                return job.checkpointed(command.checkpoint()).requeued();
        }
    }

    private Job afterFailure(long logIndex, Job job, EndAttempt command, RuleSet rules) {
        List<HostId> hosts = new ArrayList<>(job.failedHosts());
        HostId host = job.host().get();
        if (!hosts.contains(host)) {
            hosts.add(host);
        }
        Job failed = job.checkpointed(command.checkpoint()).failedOnce(List.copyOf(hosts));
        if (failed.failures() < rules.batch().maxAttempts()) {
            return failed.requeued();
        }
        String reason = "failed " + failed.failures() + " times on " + hosts.size() + " workers, last on " + host + ": "
                + command.detail();
        return failed.ended(JobState.FAILED, reason, logIndex).freed();
    }

    private boolean neverFits(JobSpec spec, RuleSet rules) {
        return !workers.all().isEmpty()
                && workers.couldHold(spec, rules.batch()).isEmpty();
    }

    private Optional<Failure> checkQuota(JobSpec spec, RuleSet rules) {
        if (rules.teams().isEmpty()) {
            return Optional.empty();
        }
        TeamRule team = rules.teams().get(spec.team());
        if (team == null) {
            return Optional.of(Failure.of(ErrorKind.TEAM_UNKNOWN, spec.team()));
        }
        Resources total = index.heldBy(spec.team()).total().plus(spec.resources());
        return total.fitsIn(team.quota())
                ? Optional.empty()
                : Optional.of(Failure.of(ErrorKind.QUOTA_EXCEEDED, spec.team(), spec.id()));
    }

    private static Refused refused(ErrorKind kind, Object... arguments) {
        return new Refused(Failure.of(kind, arguments));
    }

    void restore(Collection<Job> records) {
        index.clear();
        records.forEach(index::put);
    }

    /**
     * Finds a job.
     *
     * @param id the job
     * @return the job, empty if it is unknown or was removed
     */
    public Optional<Job> find(JobId id) {
        return index.find(id);
    }

    /**
     * Returns all jobs, in no particular order.
     *
     * @return an unmodifiable view
     */
    public Map<JobId, Job> all() {
        return index.all();
    }

    /**
     * Returns what is held on a host.
     *
     * @param host the worker
     * @return the resources, {@link Holding#NONE} for an unknown host
     */
    public Holding heldOn(HostId host) {
        return index.heldOn(host);
    }

    /**
     * Returns what a team holds.
     *
     * @param team the team
     * @return the resources, {@link Holding#NONE} for an unknown team
     */
    public Holding heldBy(String team) {
        return index.heldBy(team);
    }

    /**
     * Returns the jobs that hold resources on a host, by name.
     *
     * @param host the worker
     * @return an unmodifiable set, empty for an unknown host
     */
    public Set<JobId> jobsOn(HostId host) {
        return index.jobsOn(host);
    }

    /**
     * Returns the hosts on which resources are held.
     *
     * @return an unmodifiable view
     */
    public Set<HostId> hostsInUse() {
        return index.hostsInUse();
    }

    /**
     * Returns the jobs that were changed after a given change. Change numbers are local to this host and unrelated to
     * log indexes.
     *
     * @param change the number of the last change that the reader knows, 0 for none
     * @return the jobs by the number of their last change
     */
    public SortedMap<Long, JobId> changedAfter(long change) {
        return index.changedAfter(change);
    }
}
