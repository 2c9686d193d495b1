package org.cornelcove.replication.core;

import java.util.Optional;

/**
 * The receiving side of a snapshot. Pieces are taken in order only, each after the one before is written; anything else
 * is answered by the offset that is wanted. A restart begins anew.
 */
final class SnapshotReceiver {
    private long snapshotIndex;
    private long snapshotTerm;
    private long wantedOffset;
    private Optional<Message.SnapshotChunk> toWrite = Optional.empty();
    private Optional<Message.SnapshotChunk> last = Optional.empty();

    /** Tells whether the whole snapshot was received and the disk is putting it in the log's place. */
    boolean finishing() {
        return last.isPresent();
    }

    /** Takes a piece if it is the wanted one, and returns the offset wanted next. */
    long offer(Message.SnapshotChunk chunk) {
        boolean same = chunk.snapshotIndex() == snapshotIndex && chunk.snapshotTerm() == snapshotTerm;
        if (!same && chunk.offset() == 0) {
            snapshotIndex = chunk.snapshotIndex();
            snapshotTerm = chunk.snapshotTerm();
            wantedOffset = 0;
            same = true;
        }
        if (!same || toWrite.isPresent()) {
            return same ? wantedOffset : 0;
        }
        if (chunk.offset() == wantedOffset) {
            toWrite = Optional.of(chunk);
            wantedOffset += chunk.data().length;
            last = chunk.last() ? Optional.of(chunk) : Optional.empty();
        }
        return wantedOffset;
    }

    Optional<Message.SnapshotChunk> takeChunk() {
        Optional<Message.SnapshotChunk> chunk = toWrite;
        toWrite = Optional.empty();
        return chunk;
    }

    /** Ends the receiving and returns the last piece. */
    Optional<Message.SnapshotChunk> finish() {
        Optional<Message.SnapshotChunk> chunk = last;
        last = Optional.empty();
        snapshotIndex = 0;
        wantedOffset = 0;
        return chunk;
    }
}
