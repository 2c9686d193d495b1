package org.cornelcove.replication;

import java.util.List;
import java.util.Optional;

import org.cornelcove.replication.core.ReplicaCore;

/**
 * A member's view of the group.
 *
 * @param self the id of this member
 * @param leader the id of the leader; empty if unknown
 * @param leading whether this member is leader
 * @param term the current term
 * @param commitIndex the highest index known to be committed
 * @param appliedIndex the highest index applied on this member
 * @param snapshotIndex the index of the newest snapshot, 0 if there is none
 * @param members all members
 * @param progress the replication progress of each other member; empty unless this member is leader
 */
public record ReplicaStatus(
        long self,
        Optional<Long> leader,
        boolean leading,
        long term,
        long commitIndex,
        long appliedIndex,
        long snapshotIndex,
        List<Member> members,
        List<MemberProgress> progress) {
    /** Accepts the status of an older daemon, which lacks the progress, with an empty list in its place. */
    public ReplicaStatus {
        progress = progress == null ? List.of() : progress;
    }

    static ReplicaStatus of(long self, ReplicaCore core, long nowMs) {
        return new ReplicaStatus(
                self,
                core.leaderId() == 0 ? Optional.empty() : Optional.of(core.leaderId()),
                core.role() == ReplicaCore.Role.LEADER,
                core.term(),
                core.commitIndex(),
                core.appliedIndex(),
                core.snapshot().index(),
                core.membership().members().stream()
                        .map(m -> new Member(m.id(), m.address(), m.voting()))
                        .toList(),
                core.followers(nowMs).stream()
                        .map(follower -> MemberProgress.of(follower, core.commitIndex()))
                        .toList());
    }

    /** Returns the status of the member once it has stopped: without a leader, and without progress of others. */
    ReplicaStatus afterStop() {
        return new ReplicaStatus(
                self, Optional.empty(), false, term, commitIndex, appliedIndex, snapshotIndex, members, List.of());
    }
}
