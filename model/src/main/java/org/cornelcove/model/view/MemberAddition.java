package org.cornelcove.model.view;

/**
 * A request to add a control member, which votes once it has caught up with the log.
 *
 * @param id a number that no member has ever had
 * @param address its address for the other members, {@code ip:port}
 */
public record MemberAddition(long id, String address) {}
