package org.cornelcove.replication.core;

/** The steps at which a fault can be injected. */
enum Step {
    DRAINED(1),
    PRE_VOTE_ASKED(0),
    VOTE_ASKED(0),
    VOTE_GIVEN(0),
    ELECTED(0),
    WRITING(7),
    WRITTEN(7),
    ENTRIES_SENT(5),
    ENTRIES_ANSWERED(5),
    APPLIED(5),
    CHUNK_SENT(2),
    CHUNK_ANSWERED(2),
    SNAPSHOT_INSTALLED(0),
    MEMBERS_CHANGED(1),
    TRANSFER_SENT(0);

    /** The fault is injected at occurrence {@code 1 + stride * seed} of the step. */
    final int stride;

    Step(int stride) {
        this.stride = stride;
    }

    static Step of(Message message) {
        if (message instanceof Message.AppendRequest) {
            return ENTRIES_SENT;
        } else if (message instanceof Message.AppendResponse) {
            return ENTRIES_ANSWERED;
        } else if (message instanceof Message.PreVoteRequest) {
            return PRE_VOTE_ASKED;
        } else if (message instanceof Message.VoteRequest) {
            return VOTE_ASKED;
        } else if (message instanceof Message.VoteResponse) {
            return VOTE_GIVEN;
        } else if (message instanceof Message.SnapshotChunk) {
            return CHUNK_SENT;
        } else if (message instanceof Message.SnapshotResponse) {
            return CHUNK_ANSWERED;
        }
        return message instanceof Message.TransferLeadership ? TRANSFER_SENT : DRAINED;
    }
}
