package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.view.InForceView;

/** The events that workers, entries, callers and operators observed. */
final class History {
    // A worker executed an attempt in this interval; toMs is the maximum value while it runs.
    static final class Run {
        final HostId host;
        final AttemptId attempt;
        final Resources resources;
        final long fromMs;
        long toMs = Long.MAX_VALUE;

        Run(HostId host, AttemptId attempt, Resources resources, long fromMs) {
            this.host = host;
            this.attempt = attempt;
            this.resources = resources;
            this.fromMs = fromMs;
        }
    }

    // A worker started an attempt.
    record Start(AttemptId attempt, Optional<String> checkpoint, long atMs) {}

    // A worker was ordered to evict in response to a heartbeat sent at orderedMs, and to forget at forgottenMs.
    record Eviction(AttemptId attempt, String checkpoint, long orderedMs, long forgottenMs) {}

    // The targets and ranges that an entry with a valid lease could serve at a point in time.
    record Serving(long atMs, EntryId entry, long version, Set<TargetId> targets, Set<Integer> ranges) {}

    // An entry was granted a key and dispatched its request.
    record Dispatch(String key, EntryId entry, long index) {}

    // The view of a job that an operator received.
    record JobObservation(long atMs, JobView job) {}

    // The answer that an operator received to whether a version is in force.
    record InForceAnswer(long atMs, InForceView inForce) {}

    // An operator proposed rules, which were accepted with a version.
    record Accepted(String digest, long version) {}

    final List<Run> runs = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    final List<Eviction> evictions = new ArrayList<>();
    final List<Serving> servings = new ArrayList<>();
    final List<Dispatch> dispatches = new ArrayList<>();
    final List<JobObservation> jobObservations = new ArrayList<>();
    final List<InForceAnswer> inForceAnswers = new ArrayList<>();
    final List<Accepted> accepted = new ArrayList<>();
    final List<Long> observedVersions = new ArrayList<>();
}
