package org.cornelcove.work.group;

/**
 * What the leader did about a newcomer.
 *
 * @param step what it did
 */
public record JoinReply(MembershipPlan.Kind step) {}
