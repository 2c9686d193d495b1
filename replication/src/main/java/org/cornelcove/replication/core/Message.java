package org.cornelcove.replication.core;

import java.util.List;

/** A message between members. */
public sealed interface Message {
    /**
     * Requests a pre-vote, which raises no term. The envelope carries the proposed term.
     *
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm that entry's term
     */
    record PreVoteRequest(long lastIndex, long lastTerm) implements Message {}

    /**
     * Answers a {@link PreVoteRequest}: with the proposed term when granted, else with the responder's own term.
     *
     * @param granted whether the sender would get the vote
     */
    record PreVoteResponse(boolean granted) implements Message {}

    /**
     * Requests a vote.
     *
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm that entry's term
     * @param transfer whether the leader requested this election, so that its stickiness does not apply
     */
    record VoteRequest(long lastIndex, long lastTerm, boolean transfer) implements Message {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param granted whether the sender gets the vote
     */
    record VoteResponse(boolean granted) implements Message {}

    /**
     * Replicates entries, or none as a heartbeat. The response echoes {@code round} and {@code sentMs}.
     *
     * @param prevIndex the index of the entry before {@code entries}
     * @param prevTerm that entry's term
     * @param commitIndex the leader's commit index
     * @param round the leader's round, echoed in the response
     * @param sentMs the leader's clock, echoed in the response
     * @param entries the entries, at successive indices
     */
    record AppendRequest(
            long prevIndex, long prevTerm, long commitIndex, long round, long sentMs, List<LogEntry> entries)
            implements Message {}

    /**
     * Answers an {@link AppendRequest}, or a {@link SnapshotChunk} once the log covers the snapshot.
     *
     * @param success whether the log matches the leader's at {@code prevIndex}
     * @param index on success the last durable entry that matches the leader's, else the last one that may match
     * @param prevIndex the entry that was compared
     * @param round the leader's round, echoed in the response
     * @param sentMs the leader's clock, echoed in the response
     */
    record AppendResponse(boolean success, long index, long prevIndex, long round, long sentMs) implements Message {}

    /**
     * Transfers a chunk of a snapshot file.
     *
     * @param snapshotIndex the last entry that the snapshot covers
     * @param snapshotTerm that entry's term
     * @param offset the position of the chunk in the file, in bytes
     * @param last whether it is the last chunk
     * @param round the leader's round, echoed in the response
     * @param sentMs the leader's clock, echoed in the response
     * @param data the bytes of the chunk
     */
    record SnapshotChunk(
            long snapshotIndex, long snapshotTerm, long offset, boolean last, long round, long sentMs, byte[] data)
            implements Message {}

    /**
     * Requests the next chunk of a snapshot.
     *
     * @param snapshotIndex the last entry that the snapshot covers
     * @param nextOffset the next expected offset, in bytes
     * @param round the leader's round, echoed in the response
     * @param sentMs the leader's clock, echoed in the response
     */
    record SnapshotResponse(long snapshotIndex, long nextOffset, long round, long sentMs) implements Message {}

    /** Asks a member to start an election at once, to take over from the leader. */
    record TransferLeadership() implements Message {}

    /** Informs a member that its id was removed or belongs to another data folder. */
    record MemberRetired() implements Message {}
}
