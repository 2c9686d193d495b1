package org.cornelcove.work.group;

/**
 * The leader's answer to a {@link JoinRequest}.
 *
 * @param step the action that the leader took
 */
public record JoinReply(MembershipPlan.Kind step) {}
