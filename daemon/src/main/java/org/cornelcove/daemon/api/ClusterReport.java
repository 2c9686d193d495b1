package org.cornelcove.daemon.api;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.control.leader.Leases;
import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.control.view.EntryStatus;
import org.cornelcove.control.view.JobCounts;
import org.cornelcove.control.view.TargetStatus;
import org.cornelcove.control.view.WorkerStatus;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.daemon.call.LeaderRouter;
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
import org.cornelcove.replication.ReplicaStatus;

/** Puts together what operators see of the cluster out of the leader's answers. */
final class ClusterReport {
    private static final long TIMEOUT_MS = 3_000;

    private ClusterReport() {}

    static CompletableFuture<ClusterStatus> read(LeaderRouter router) {
        CompletableFuture<ControlStatus> control = router.call(Calls.STATUS, Empty.INSTANCE, TIMEOUT_MS);
        CompletableFuture<ReplicaStatus> group = router.call(Calls.GROUP, Empty.INSTANCE, TIMEOUT_MS);
        return control.thenCombine(group, ClusterReport::compose);
    }

    static CompletableFuture<List<MemberView>> members(LeaderRouter router) {
        return router.call(Calls.GROUP, Empty.INSTANCE, TIMEOUT_MS).thenApply(ClusterReport::members);
    }

    private static ClusterStatus compose(ControlStatus control, ReplicaStatus group) {
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

    private static List<MemberView> members(ReplicaStatus group) {
        return group.members().stream()
                .map(member -> new MemberView(member.id(), member.address(), member.voting(), state(member, group)))
                .toList();
    }

    private static MemberState state(Member member, ReplicaStatus group) {
        if (group.leader().equals(Optional.of(member.id()))) {
            return MemberState.LEADER;
        }
        return member.voting() ? MemberState.FOLLOWER : MemberState.LEARNER;
    }

    private static EntryView entry(EntryStatus entry) {
        return new EntryView(entry.entry(), entry.availabilityZone(), entry.configurationVersion(), entry.live());
    }

    private static TargetView target(TargetStatus target) {
        boolean silent = target.silentMs() < 0 || target.silentMs() > Leases.TARGET_SILENCE_MS;
        return new TargetView(
                target.target(), target.service(), "", target.owner(), silent ? TargetState.SILENT : TargetState.LIVE);
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
