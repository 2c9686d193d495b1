package org.cornelcove.replication.core;

/**
 * What a leader knows of another member.
 *
 * @param id the member
 * @param active whether its answers are new enough to count towards the leader's quorum
 * @param unansweredMs the age of the newest request that it answered; since the leader's election where it answered none
 * @param matchIndex the last entry known to be durable there
 */
public record FollowerView(long id, boolean active, long unansweredMs, long matchIndex) {}
