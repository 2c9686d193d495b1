package org.cornelcove.replication.core;

/**
 * The leader's view of another member.
 *
 * @param id the member's id
 * @param active whether its responses are recent enough to count towards the leader's quorum
 * @param unansweredMs the age of the newest request it answered; the time since the election when it answered none
 * @param matchIndex the last entry known to be durable on the member
 */
public record FollowerView(long id, boolean active, long unansweredMs, long matchIndex) {}
