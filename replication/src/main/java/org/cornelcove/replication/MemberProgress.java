package org.cornelcove.replication;

import org.cornelcove.replication.core.FollowerView;

/**
 * The replication progress of another member, as known to the leader.
 *
 * @param id the id of the member
 * @param silent whether its latest response is too old to count towards the leader's quorum
 * @param unansweredMs the age in ms of the newest request that it answered; since the leader's election if it answered
 *     none
 * @param behindEntries the number of committed entries that are not known to be durable on it
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
