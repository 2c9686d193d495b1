package org.cornelcove.replication;

/**
 * One member of the group.
 *
 * @param id unique; never reused after the member is removed or has lost its disk
 * @param address the address at which its peers reach it, {@code ip:port}
 * @param voting whether it votes; a learner does not
 */
public record Member(long id, String address, boolean voting) {}
