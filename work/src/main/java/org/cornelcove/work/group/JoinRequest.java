package org.cornelcove.work.group;

/**
 * A request to become a member.
 *
 * @param id an id that was never used before
 * @param address where members reach the new one, {@code ip:port}
 */
public record JoinRequest(long id, String address) {}
