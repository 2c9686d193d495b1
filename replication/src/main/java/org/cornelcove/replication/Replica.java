package org.cornelcove.replication;

import java.util.concurrent.CompletableFuture;

/** One member of the group that keeps the replicated log. */
public interface Replica extends AutoCloseable {
    /**
     * Proposes a command.
     *
     * @param command the command
     * @return its result once committed and applied here; fails with kind {@code NOT_LEADER} when it was surely not
     *     appended, and {@code PROPOSAL_OUTCOME_UNKNOWN} when leadership went before it was decided
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Waits until the state applied here holds every command that was answered before the call.
     *
     * @return the applied index; fails with kind {@code NOT_LEADER} on a member that doesn't lead
     */
    CompletableFuture<Long> readBarrier();

    /**
     * Adds a learner, which is promoted by the leader once it has caught up.
     *
     * @param id a member id that was never used before
     * @param address where its peers reach it, {@code ip:port}
     * @return done once the learner votes and holds every committed command
     */
    CompletableFuture<Void> addMember(long id, String address);

    /**
     * Removes a member.
     *
     * @param id the member
     * @return done once the removal is committed
     */
    CompletableFuture<Void> removeMember(long id);

    /**
     * Returns this member's view of the group.
     *
     * @return the view, taken without waiting
     */
    ReplicaStatus status();

    @Override
    void close();
}
