package org.cornelcove.replication.core;

/** What a leader knows of one member. */
final class Progress {
    /** How entries reach the member. */
    enum Mode {
        /** One request at a time, until the place where the logs agree is found. */
        PROBE,
        /** Requests follow each other without waiting. */
        STREAM,
        /** A snapshot is being sent. */
        SNAPSHOT
    }

    Mode mode = Mode.PROBE;
    /** The data folder that answered, {@link MemberRecord#UNBOUND} before the first answer. */
    long incarnation;
    /** The last entry that is durable there. */
    long matchIndex;
    /** The leader's clock when it last learned of a later durable entry there. */
    private long matchedMs = Leadership.NEVER_MS;

    long nextIndex;
    /** The newest round that was answered. */
    long answeredRound;
    /** The leader's clock when it sent the newest request that was answered. */
    long answeredSentMs;
    /** Whether a probe is under way. */
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

    /** Notes that the member holds everything up to the index on its disk. */
    void matched(long index, long nowMs) {
        if (index > matchIndex) {
            matchIndex = index;
            matchedMs = nowMs;
        }
    }

    /**
     * Tells whether a refusal proves that the member no longer holds what it said was durable. It does if the request
     * left after that was known here: whatever the network reorders, the member took the request later than it wrote.
     */
    boolean lacksMatched(Message.AppendResponse refusal) {
        return refusal.sentMs() > matchedMs && Math.min(refusal.prevIndex(), refusal.index() + 1) <= matchIndex;
    }

    void answered(long round, long sentMs) {
        answeredRound = Math.max(answeredRound, round);
        answeredSentMs = Math.max(answeredSentMs, sentMs);
    }
}
