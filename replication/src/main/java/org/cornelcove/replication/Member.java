package org.cornelcove.replication;

/**
 * One member of the group.
 *
 * @param id never used again after the member is removed or has lost its disk
 * @param address where its peers reach it, {@code ip:port}
 * @param voting whether it votes; a learner does not
 */
public record Member(long id, String address, boolean voting) {}
