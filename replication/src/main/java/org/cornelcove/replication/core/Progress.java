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

    void answered(long round, long sentMs) {
        answeredRound = Math.max(answeredRound, round);
        answeredSentMs = Math.max(answeredSentMs, sentMs);
    }
}
