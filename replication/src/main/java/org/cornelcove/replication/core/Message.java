package org.cornelcove.replication.core;

import java.util.List;

/** What members say to each other. */
public sealed interface Message {
    /**
     * Asks whether a vote would be given, without raising anybody's term. The envelope's term is the wished one.
     *
     * @param lastIndex the sender's last entry
     * @param lastTerm that entry's term
     */
    record PreVoteRequest(long lastIndex, long lastTerm) implements Message {}

    /**
     * Answers a {@link PreVoteRequest}; granted under the wished term, refused under the answerer's own.
     *
     * @param granted whether the vote is given
     */
    record PreVoteResponse(boolean granted) implements Message {}

    /**
     * Asks for a vote. {@code transfer} tells that the leader itself asked for this election.
     *
     * @param lastIndex the sender's last entry
     * @param lastTerm that entry's term
     * @param transfer whether the leader itself asked for this election
     */
    record VoteRequest(long lastIndex, long lastTerm, boolean transfer) implements Message {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param granted whether the vote is given
     */
    record VoteResponse(boolean granted) implements Message {}

    /**
     * Brings entries, or none as a heartbeat. The answer returns {@code round} and {@code sentMs} unread.
     *
     * @param prevIndex the entry before the first one brought
     * @param prevTerm that entry's term
     * @param commitIndex the leader's commit index
     * @param round the leader's round, returned unread
     * @param sentMs the leader's clock, returned unread
     * @param entries the entries
     */
    record AppendRequest(
            long prevIndex, long prevTerm, long commitIndex, long round, long sentMs, List<LogEntry> entries)
            implements Message {}

    /**
     * Answers an {@link AppendRequest}. On success {@code index} is the last entry that is durable and equal to the leader's; else the last one that may be equal, and {@code prevIndex} the one that was missing.
     *
     * @param success whether the logs agree up to the request
     * @param index the index
     * @param prevIndex the entry before the first one brought
     * @param round the leader's round, returned unread
     * @param sentMs the leader's clock, returned unread
     */
    record AppendResponse(boolean success, long index, long prevIndex, long round, long sentMs) implements Message {}

    /**
     * Brings a piece of a snapshot file.
     *
     * @param snapshotIndex the last entry that the snapshot holds
     * @param snapshotTerm that entry's term
     * @param offset where in the file the piece stands
     * @param last whether it is the last piece
     * @param round the leader's round, returned unread
     * @param sentMs the leader's clock, returned unread
     * @param data the piece
     */
    record SnapshotChunk(
            long snapshotIndex, long snapshotTerm, long offset, boolean last, long round, long sentMs, byte[] data)
            implements Message {}

    /**
     * Tells which piece is wanted next.
     *
     * @param snapshotIndex the last entry that the snapshot holds
     * @param nextOffset the offset that is wanted next
     * @param round the leader's round, returned unread
     * @param sentMs the leader's clock, returned unread
     */
    record SnapshotResponse(long snapshotIndex, long nextOffset, long round, long sentMs) implements Message {}

    /** Asks a member to start an election at once, because the leader wants to stop. */
    record TransferLeadership() implements Message {}

    /** Tells a member that its id was removed or belongs to another data folder. */
    record MemberRetired() implements Message {}
}
