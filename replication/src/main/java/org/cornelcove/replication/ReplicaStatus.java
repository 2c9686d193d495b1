package org.cornelcove.replication;

import java.util.List;
import java.util.Optional;

import org.cornelcove.replication.core.ReplicaCore;

/**
 * A member's view of the group.
 *
 * @param self this member
 * @param leader the leader, where one is known
 * @param leading whether this member leads
 * @param term the current term
 * @param commitIndex the highest index known as committed
 * @param appliedIndex the highest index applied here
 * @param snapshotIndex the index of the newest snapshot, 0 without one
 * @param members all members
 * @param progress how far each other member follows; empty unless this member leads
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
    /** Takes the status of an older daemon, which tells no progress, as one without it. */
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
}
