package org.cornelcove.replication;

import java.util.List;
import java.util.Optional;

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
}
