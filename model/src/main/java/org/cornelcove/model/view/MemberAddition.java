package org.cornelcove.model.view;

/**
 * Asks to add a control member; it votes once it holds everything.
 *
 * @param id a number that no member has ever had
 * @param address where its peers reach it, {@code ip:port}
 */
public record MemberAddition(long id, String address) {}
