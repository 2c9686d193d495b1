package org.cornelcove.replication.core;

import java.util.Optional;

/**
 * Receives a snapshot in chunks. Chunks are accepted in order only, each after the previous one was passed to the disk;
 * any other chunk is answered with the next expected offset. After a restart the transfer starts over.
 */
final class SnapshotReceiver {
    private long snapshotIndex;
    private long snapshotTerm;
    private long nextOffset;
    private Optional<Message.SnapshotChunk> unwrittenChunk = Optional.empty();
    private Optional<Message.SnapshotChunk> lastChunk = Optional.empty();

    /** Returns whether the whole snapshot was received and the disk is replacing the log by it. */
    boolean installing() {
        return lastChunk.isPresent();
    }

    /** Accepts the chunk if it is the expected one, and returns the next expected offset. */
    long offer(Message.SnapshotChunk chunk) {
        boolean sameSnapshot = chunk.snapshotIndex() == snapshotIndex && chunk.snapshotTerm() == snapshotTerm;
        if (!sameSnapshot && chunk.offset() == 0) {
            snapshotIndex = chunk.snapshotIndex();
            snapshotTerm = chunk.snapshotTerm();
            nextOffset = 0;
            sameSnapshot = true;
        }
        if (!sameSnapshot || unwrittenChunk.isPresent()) {
            return sameSnapshot ? nextOffset : 0;
        }
        if (chunk.offset() == nextOffset) {
            unwrittenChunk = Optional.of(chunk);
            nextOffset += chunk.data().length;
            lastChunk = chunk.last() ? Optional.of(chunk) : Optional.empty();
        }
        return nextOffset;
    }

    Optional<Message.SnapshotChunk> takeChunk() {
        Optional<Message.SnapshotChunk> chunk = unwrittenChunk;
        unwrittenChunk = Optional.empty();
        return chunk;
    }

    /** Ends the transfer and returns its last chunk, empty when the snapshot was not complete. */
    Optional<Message.SnapshotChunk> finish() {
        Optional<Message.SnapshotChunk> chunk = lastChunk;
        lastChunk = Optional.empty();
        snapshotIndex = 0;
        nextOffset = 0;
        return chunk;
    }
}
