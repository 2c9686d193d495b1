package org.cornelcove.replication.core;

/**
 * A member as the log knows it.
 *
 * @param id the member
 * @param address where its peers reach it
 * @param voting whether it votes
 * @param incarnation the identity of its data folder, {@link #UNBOUND} until it is known
 */
public record MemberRecord(long id, String address, boolean voting, long incarnation) {
    /** The incarnation of a member whose data folder is not known yet. */
    public static final long UNBOUND = 0;

    /**
     * Returns whether a message from this member may carry the given incarnation.
     *
     * @param other the incarnation of the message
     * @return false when it comes from another data folder
     */
    public boolean admits(long other) {
        return incarnation == UNBOUND || incarnation == other;
    }
}
