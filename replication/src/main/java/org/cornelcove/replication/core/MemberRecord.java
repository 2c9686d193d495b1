package org.cornelcove.replication.core;

/**
 * A member as recorded in the log.
 *
 * @param id the member's id
 * @param address its RPC address
 * @param voting false for a learner
 * @param incarnation the identity of its data folder, {@link #UNBOUND} until it is known
 */
public record MemberRecord(long id, String address, boolean voting, long incarnation) {
    /** The incarnation of a member whose data folder is not known yet. */
    public static final long UNBOUND = 0;

    /**
     * Returns whether a message from this member may carry the given incarnation.
     *
     * @param other the incarnation in the message
     * @return false when the member is bound to another data folder
     */
    public boolean admits(long other) {
        return incarnation == UNBOUND || incarnation == other;
    }
}
