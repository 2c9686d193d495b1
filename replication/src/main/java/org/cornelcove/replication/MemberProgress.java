package org.cornelcove.replication;

import org.cornelcove.replication.core.FollowerView;

/**
 * How far another member follows, as its leader knows.
 *
 * @param id the member
 * @param silent whether its answers are too old to count towards the leader's quorum
 * @param unansweredMs the age of the newest request that it answered; since the leader's election where it answered none
 * @param behindEntries how many committed entries are not known to be durable there
 */
public record MemberProgress(long id, boolean silent, long unansweredMs, long behindEntries) {
    static MemberProgress of(FollowerView follower, long commitIndex) {
        return new MemberProgress(
                follower.id(),
                !follower.active(),
                follower.unansweredMs(),
                Math.max(0, commitIndex - follower.matchIndex()));
    }
}
