package org.cornelcove.daemon.api;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.cornelcove.control.leader.Leases;
import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.control.view.EntryStatus;
import org.cornelcove.control.view.JobCounts;
import org.cornelcove.control.view.TargetStatus;
import org.cornelcove.control.view.WorkerStatus;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.EntryView;
import org.cornelcove.model.view.MemberState;
import org.cornelcove.model.view.MemberView;
import org.cornelcove.model.view.TargetState;
import org.cornelcove.model.view.TargetView;
import org.cornelcove.model.view.WorkerState;
import org.cornelcove.model.view.WorkerView;
import org.cornelcove.replication.Member;
import org.cornelcove.replication.MemberProgress;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.LeaderRouter;

/** Builds the cluster status for operators from the leader's answers. */
final class ClusterReport {
    private static final long TIMEOUT_MS = 3_000;

    private ClusterReport() {}

    static CompletableFuture<ClusterStatus> read(LeaderRouter router) {
        CompletableFuture<ControlStatus> control = router.read(Calls.STATUS, Empty.INSTANCE, TIMEOUT_MS);
        CompletableFuture<ReplicaStatus> group = group(router, ClusterReport::lacksLeaderGroup);
        return control.thenCombine(group, ClusterReport::compose);
    }

    static CompletableFuture<List<MemberView>> members(LeaderRouter router) {
        return group(router, any -> true).thenApply(ClusterReport::members);
    }

    /** Reads the group from the leader, or else from any control host, which lacks the progress of the members. */
    private static CompletableFuture<ReplicaStatus> group(LeaderRouter router, Predicate<Throwable> fallBackToAny) {
        return router.read(Calls.LEADER_GROUP, Empty.INSTANCE, TIMEOUT_MS)
                .handle((group, thrown) -> {
                    if (thrown == null) {
                        return CompletableFuture.completedFuture(group);
                    }
                    return fallBackToAny.test(thrown)
                            ? router.read(Calls.GROUP, Empty.INSTANCE, TIMEOUT_MS)
                            : CompletableFuture.<ReplicaStatus>failedFuture(FailureException.causeOf(thrown));
                })
                .thenCompose(next -> next);
    }

    /** Returns whether the control host runs an older version without the call for the progress of the members. */
    private static boolean lacksLeaderGroup(Throwable thrown) {
        return FailureException.carriedBy(thrown)
                .map(Failure::kind)
                .filter(kind -> kind == ErrorKind.METHOD_UNKNOWN)
                .isPresent();
    }

    static ClusterStatus compose(ControlStatus control, ReplicaStatus group) {
        return new ClusterStatus(
                group.leader(),
                group.term(),
                group.commitIndex(),
                members(group),
                control.entries().stream().map(ClusterReport::entry).toList(),
                control.targets().stream().map(ClusterReport::target).toList(),
                control.workers().stream().map(ClusterReport::worker).toList(),
                counts(control.jobs()),
                control.configurationVersion());
    }

    static List<MemberView> members(ReplicaStatus group) {
        return group.members().stream()
                .map(member -> view(member, group, progressOf(member, group)))
                .toList();
    }

    private static Optional<MemberProgress> progressOf(Member member, ReplicaStatus group) {
        return group.progress().stream()
                .filter(progress -> progress.id() == member.id())
                .findFirst();
    }

    private static MemberView view(Member member, ReplicaStatus group, Optional<MemberProgress> progress) {
        return new MemberView(
                member.id(),
                member.address(),
                member.voting(),
                state(member, group, progress),
                progress.map(MemberProgress::unansweredMs),
                progress.map(MemberProgress::behindEntries));
    }

    private static MemberState state(Member member, ReplicaStatus group, Optional<MemberProgress> progress) {
        if (group.leader().equals(Optional.of(member.id()))) {
            return MemberState.LEADER;
        }
        if (progress.isEmpty() && member.id() != group.self()) {
            return MemberState.UNKNOWN;
        }
        if (progress.filter(MemberProgress::silent).isPresent()) {
            return MemberState.SILENT;
        }
        return member.voting() ? MemberState.FOLLOWER : MemberState.LEARNER;
    }

    private static EntryView entry(EntryStatus entry) {
        return new EntryView(entry.entry(), entry.availabilityZone(), entry.configurationVersion(), entry.live());
    }

    private static TargetView target(TargetStatus target) {
        return new TargetView(
                target.target(), target.service(), target.availabilityZone(), target.owner(), state(target));
    }

    private static TargetState state(TargetStatus target) {
        if (target.silentMs() < 0 || target.silentMs() > Leases.TARGET_SILENCE_MS) {
            return TargetState.SILENT;
        }
        return target.leaving() ? TargetState.LEAVING : TargetState.LIVE;
    }

    private static WorkerView worker(WorkerStatus worker) {
        return new WorkerView(
                worker.host(),
                worker.availabilityZone(),
                worker.rack(),
                worker.capacity(),
                worker.capacity().minus(worker.held()),
                state(worker));
    }

    private static WorkerState state(WorkerStatus worker) {
        if (!worker.live()) {
            return WorkerState.SILENT;
        }
        if (worker.leaving()) {
            return WorkerState.LEAVING;
        }
        return worker.quarantined() ? WorkerState.QUARANTINED : WorkerState.LIVE;
    }

    private static Map<JobState, Integer> counts(JobCounts jobs) {
        Map<JobState, Integer> counts = new EnumMap<>(JobState.class);
        counts.put(JobState.PENDING, (int) jobs.pending());
        counts.put(JobState.PLACED, (int) jobs.placed());
        counts.put(JobState.FINISHED, (int) jobs.finished());
        counts.put(JobState.FAILED, (int) jobs.failed());
        counts.put(JobState.CANCELLED, (int) jobs.cancelled());
        return counts;
    }
}
