package org.cornelcove.control.state;

import java.util.List;
import java.util.Optional;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.job.JobView;

/**
 * A job. Immutable; each change creates a new instance.
 *
 * <p>A job holds resources exactly while {@code host} is present. That is independent of its state: a cancelled job
 * whose attempt still runs keeps its host until the end of the attempt is recorded.
 *
 * @param spec the submitted specification
 * @param state its current state
 * @param attempt the number of the current or last attempt, 0 before the first
 * @param host the worker on which the current attempt holds resources, empty if none does
 * @param hostIncarnation the worker's incarnation when the attempt was placed, 0 without a host
 * @param checkpoint the last recorded checkpoint
 * @param reason why it failed or was cancelled, empty otherwise
 * @param submittedIndex the log index of its submission
 * @param endedIndex the log index at which its state became final, 0 before
 * @param failures how many attempts failed
 * @param failedHosts the distinct hosts on which they failed
 */
public record Job(
        JobSpec spec,
        JobState state,
        int attempt,
        Optional<HostId> host,
        long hostIncarnation,
        Optional<String> checkpoint,
        String reason,
        long submittedIndex,
        long endedIndex,
        int failures,
        List<HostId> failedHosts) {

    static Job submitted(JobSpec spec, long index) {
        return new Job(spec, JobState.PENDING, 0, Optional.empty(), 0, Optional.empty(), "", index, 0, 0, List.of());
    }

    /** Returns the job's name. */
    public JobId id() {
        return spec.id();
    }

    /** Returns the current or last attempt. */
    public AttemptId attemptId() {
        return AttemptId.of(spec.id(), attempt);
    }

    /** Returns whether an attempt holds resources. */
    public boolean holds() {
        return host.isPresent();
    }

    /** Returns whether the given attempt is the one that holds resources. */
    public boolean holds(AttemptId candidate) {
        return holds() && candidate.number() == attempt;
    }

    /** Returns the view of the job for operators. */
    public JobView view() {
        return new JobView(spec, state, attempt, host, checkpoint, reason);
    }

    Job placed(HostId newHost, long incarnation) {
        return new Job(
                spec,
                JobState.PLACED,
                attempt + 1,
                Optional.of(newHost),
                incarnation,
                checkpoint,
                "",
                submittedIndex,
                0,
                failures,
                failedHosts);
    }

    Job checkpointed(Optional<String> newCheckpoint) {
        return new Job(
                spec,
                state,
                attempt,
                host,
                hostIncarnation,
                newCheckpoint.or(() -> checkpoint),
                reason,
                submittedIndex,
                endedIndex,
                failures,
                failedHosts);
    }

    /** Releases the resources of the attempt and keeps the state. */
    Job freed() {
        return new Job(
                spec,
                state,
                attempt,
                Optional.empty(),
                0,
                checkpoint,
                reason,
                submittedIndex,
                endedIndex,
                failures,
                failedHosts);
    }

    Job requeued() {
        return new Job(
                spec,
                JobState.PENDING,
                attempt,
                Optional.empty(),
                0,
                checkpoint,
                "",
                submittedIndex,
                0,
                failures,
                failedHosts);
    }

    Job ended(JobState finalState, String newReason, long index) {
        return new Job(
                spec,
                finalState,
                attempt,
                host,
                hostIncarnation,
                checkpoint,
                newReason,
                submittedIndex,
                index,
                failures,
                failedHosts);
    }

    Job failedOnce(List<HostId> newFailedHosts) {
        return new Job(
                spec,
                state,
                attempt,
                host,
                hostIncarnation,
                checkpoint,
                reason,
                submittedIndex,
                endedIndex,
                failures + 1,
                newFailedHosts);
    }
}
