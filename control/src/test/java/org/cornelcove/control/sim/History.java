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

/** What workers, entries, callers and operators saw. */
final class History {
    // A worker executed an attempt from one instant to another; the end is open while it runs.
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

    // A worker was told to evict, in answer to a heartbeat sent at the first instant, and to forget it at the second.
    record Evicted(AttemptId attempt, String checkpoint, long orderedMs, long forgottenMs) {}

    // What one entry with a valid lease could serve at one instant.
    record Serving(long atMs, EntryId entry, long version, Set<TargetId> targets, Set<Integer> ranges) {}

    // An entry was granted a key and dispatched its request.
    record Dispatch(String key, EntryId entry, long index) {}

    // An operator was shown a job.
    record Shown(long atMs, JobView job) {}

    // An operator was told whether a version is in force.
    record Told(long atMs, InForceView inForce) {}

    // An operator proposed rules and was given a version for them.
    record Accepted(String digest, long version) {}

    final List<Run> runs = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    final List<Evicted> evictions = new ArrayList<>();
    final List<Serving> servings = new ArrayList<>();
    final List<Dispatch> dispatches = new ArrayList<>();
    final List<Shown> shown = new ArrayList<>();
    final List<Told> told = new ArrayList<>();
    final List<Accepted> accepted = new ArrayList<>();
    final List<Long> shownVersions = new ArrayList<>();
}
