package org.cornelcove.replication;

import java.util.concurrent.CompletableFuture;

/** A member of the group that maintains the replicated log. */
public interface Replica extends AutoCloseable {
    /**
     * Proposes a command.
     *
     * @param command the encoded command
     * @return completes with its result once it is committed and applied on this member; fails with kind
     *     {@code NOT_LEADER} if it was certainly not appended, and {@code PROPOSAL_OUTCOME_UNKNOWN} if leadership was
     *     lost before it was known whether the command commits
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Proposes a command in one term only. A leader whose decisions rest on what it knows of its term uses this, since it may
     * learn late that the term has ended, when this member leads again.
     *
     * @param term the term in which this member became leader
     * @param command the encoded command
     * @return as for {@link #propose(byte[])}; fails with kind {@code NOT_LEADER} also in another term
     */
    CompletableFuture<byte[]> propose(long term, byte[] command);

    /**
     * Waits until the state applied on this member includes every command that was acknowledged before the call.
     *
     * @return the applied index; fails with kind {@code NOT_LEADER} on a member that is not leader
     */
    CompletableFuture<Long> readBarrier();

    /**
     * Adds a learner, which the leader promotes to a voting member once it has caught up.
     *
     * @param id a member id that was never used before
     * @param address the address at which its peers reach it, {@code ip:port}
     * @return completes once the member votes and holds every committed command
     */
    CompletableFuture<Void> addMember(long id, String address);

    /**
     * Removes a member.
     *
     * @param id the id of the member to remove
     * @return completes once the removal is committed
     */
    CompletableFuture<Void> removeMember(long id);

    /**
     * Returns this member's view of the group.
     *
     * @return the latest published view; the call does not block
     */
    ReplicaStatus status();

    @Override
    void close();
}
