package org.cornelcove.replication.core;

/** A requested addition or removal of a member that is not done yet. */
final class MemberChange {
    final long token;
    final long id;
    final boolean adding;
    long requiredMatchIndex = -1;

    MemberChange(long token, long id, boolean adding) {
        this.token = token;
        this.id = id;
        this.adding = adding;
    }
}
