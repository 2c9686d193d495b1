package org.cornelcove.replication.core;

/**
 * What a snapshot covers.
 *
 * @param index the last entry it covers, 0 for none
 * @param term that entry's term
 * @param membership the membership at that entry
 */
public record SnapshotMeta(long index, long term, Membership membership) {
    /** The meta data of a member without a snapshot. */
    public static final SnapshotMeta NONE = new SnapshotMeta(0, 0, Membership.EMPTY);
}
