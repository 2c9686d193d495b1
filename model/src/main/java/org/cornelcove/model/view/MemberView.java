package org.cornelcove.model.view;

/**
 * One control member.
 *
 * @param id never used again after the member is removed or has lost its disk
 * @param address where its peers reach it, {@code ip:port}
 * @param voting whether it votes
 * @param state what it does now
 */
public record MemberView(long id, String address, boolean voting, MemberState state) {}
