package org.cornelcove.control.leader;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.cornelcove.control.state.ConfigurationRecord;
import org.cornelcove.control.state.EntryRecord;
import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.Ownership;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.TargetOwnership;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.control.view.EntryStatus;
import org.cornelcove.control.view.JobCounts;
import org.cornelcove.control.view.TargetStatus;
import org.cornelcove.control.view.WorkerStatus;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.model.view.InForceView;

/** Builds the views for operators from the durable state and the leader's soft state. */
final class Queries {
    private final EntryBoard entries;
    private final WorkerBoard workers;
    private final PlacementLoop placement;

    Queries(EntryBoard entries, WorkerBoard workers, PlacementLoop placement) {
        this.entries = entries;
        this.workers = workers;
        this.placement = placement;
    }

    static Optional<JobView> job(JobId id, Tables tables) {
        return tables.jobs().find(id).map(Job::view);
    }

    static List<JobView> jobs(Tables tables) {
        return tables.jobs().all().values().stream()
                .sorted(Comparator.comparingLong(Job::submittedIndex))
                .map(Job::view)
                .toList();
    }

    static ConfigurationView configuration(Tables tables) {
        ConfigurationRecord newest = tables.configuration().newest();
        return new ConfigurationView(
                newest.version(), newest.changeNumber(), newest.operator(), newest.digest(), newest.rules());
    }

    InForceView inForce(long version, Tables tables, long nowMs) {
        if (version > tables.configuration().newest().version()) {
            return new InForceView(version, false, List.of());
        }
        List<EntryId> waiting = entries.waitingFor(version, tables.entries().all(), nowMs);
        return new InForceView(version, waiting.isEmpty(), waiting);
    }

    ControlStatus status(Tables tables, long nowMs) {
        return new ControlStatus(
                tables.appliedIndex(),
                tables.configuration().newest().version(),
                tables.entries().all().stream()
                        .map(entry -> entry(entry, tables, nowMs))
                        .toList(),
                tables.workers().all().stream()
                        .map(worker -> worker(worker, tables, nowMs))
                        .toList(),
                tables.ownership().targets().values().stream()
                        .map(target -> target(target, nowMs))
                        .toList(),
                counts(tables),
                tables.ledger().size());
    }

    private EntryStatus entry(EntryRecord entry, Tables tables, long nowMs) {
        Optional<LiveEntry> known = entries.find(entry.entry());
        long ranges = tables.ownership().ranges().stream()
                .map(Ownership::owner)
                .filter(Optional.of(entry.entry())::equals)
                .count();
        return new EntryStatus(
                entry.entry(),
                entry.incarnation(),
                known.map(LiveEntry::availabilityZone).orElse(""),
                known.map(LiveEntry::rpcAddress).orElse(""),
                known.isPresent() && !entries.lapsed(entry.entry(), nowMs),
                known.map(LiveEntry::draining).orElse(false),
                known.map(LiveEntry::configurationVersion).orElse(0L),
                tables.ownership().targetsOf(entry.entry()).size(),
                (int) ranges);
    }

    private WorkerStatus worker(WorkerRecord worker, Tables tables, long nowMs) {
        Optional<LiveWorker> known = workers.find(worker.host());
        return new WorkerStatus(
                worker.host(),
                worker.availabilityZone(),
                worker.rack(),
                known.isPresent() && nowMs - known.get().heardMs() <= Leases.WORKER_SILENCE_MS,
                known.map(LiveWorker::leaving).orElse(false),
                placement.isQuarantined(worker.host(), nowMs),
                worker.capacity(),
                tables.jobs().heldOn(worker.host()).total(),
                tables.jobs().heldOn(worker.host()).attempts());
    }

    private TargetStatus target(TargetOwnership target, long nowMs) {
        Optional<HeardAnnouncement> last = entries.announcement(target.target());
        return new TargetStatus(
                target.target(),
                last.map(heard -> heard.announcement().service()).orElse(""),
                last.map(heard -> heard.announcement().availabilityZone()).orElse(""),
                last.map(heard -> heard.announcement().leaving()).orElse(false),
                target.ownership().owner(),
                target.ownership().epoch(),
                last.map(heard -> nowMs - heard.heardMs()).orElse(-1L));
    }

    private static JobCounts counts(Tables tables) {
        long[] byState = new long[JobState.values().length];
        tables.jobs().all().values().forEach(job -> byState[job.state().ordinal()]++);
        return new JobCounts(
                byState[JobState.PENDING.ordinal()],
                byState[JobState.PLACED.ordinal()],
                byState[JobState.FINISHED.ordinal()],
                byState[JobState.FAILED.ordinal()],
                byState[JobState.CANCELLED.ordinal()]);
    }
}
