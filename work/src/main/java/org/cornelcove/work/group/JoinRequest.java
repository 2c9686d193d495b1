package org.cornelcove.work.group;

/**
 * Asks to become a member.
 *
 * @param id an id that was never used before
 * @param address where peers reach the newcomer
 */
public record JoinRequest(long id, String address) {}
