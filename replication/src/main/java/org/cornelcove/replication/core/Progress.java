package org.cornelcove.replication.core;

/** The leader's replication state of one member. */
final class Progress {
    /** How the leader sends entries to the member. */
    enum Mode {
        /** One request at a time, until the last matching entry of both logs is found. */
        PROBE,
        /** Requests are pipelined. */
        STREAM,
        /** A snapshot is being sent. */
        SNAPSHOT
    }

    Mode mode = Mode.PROBE;
    /** The incarnation that responded, {@link MemberRecord#UNBOUND} before the first response. */
    long incarnation;
    /** The last entry known to be durable on the member. */
    long matchIndex;
    /** The leader's clock when {@code matchIndex} last advanced. */
    private long matchedMs = Leadership.NEVER_MS;

    long nextIndex;
    /** The newest round that the member answered. */
    long answeredRound;
    /** The leader's clock when it sent the newest answered request. */
    long answeredSentMs;
    /** Whether a probe is in flight. */
    boolean probeSent;

    long snapshotIndex;
    long snapshotOffset;
    boolean chunkSent;
    long chunkSentMs;

    Progress(long nextIndex, long nowMs) {
        this.nextIndex = nextIndex;
        this.answeredSentMs = nowMs;
    }

    void probeFrom(long index) {
        mode = Mode.PROBE;
        nextIndex = Math.max(matchIndex + 1, index);
        probeSent = false;
    }

    /** Records that all entries up to the index are durable on the member. */
    void matched(long index, long nowMs) {
        if (index > matchIndex) {
            matchIndex = index;
            matchedMs = nowMs;
        }
    }

    /**
     * Returns whether a rejection proves that the member lost entries it had acknowledged as durable. It does if the
     * request was sent after the acknowledgement arrived: even if the network reorders messages, the member handled the
     * request after it wrote the entries.
     */
    boolean contradictsMatch(Message.AppendResponse refusal) {
        return refusal.sentMs() > matchedMs && Math.min(refusal.prevIndex(), refusal.index() + 1) <= matchIndex;
    }

    void answered(long round, long sentMs) {
        answeredRound = Math.max(answeredRound, round);
        answeredSentMs = Math.max(answeredSentMs, sentMs);
    }
}
