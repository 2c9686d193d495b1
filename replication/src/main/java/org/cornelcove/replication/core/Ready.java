package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

/**
 * What the steps since the last one ask for. Messages may be sent at once; all that rests on a write is held back by the
 * core until the write is reported as done.
 *
 * @param messages to send
 * @param chunkReads pieces of the snapshot to read and send
 * @param write to carry out
 * @param restore an installed snapshot that the state machine must take over before the applies
 * @param applies committed entries in order
 * @param takeSnapshot whether a snapshot is wanted after these applies
 * @param events in order
 */
public record Ready(
        List<Outgoing> messages,
        List<ChunkRead> chunkReads,
        Optional<DiskWrite> write,
        Optional<SnapshotMeta> restore,
        List<Apply> applies,
        boolean takeSnapshot,
        List<CoreEvent> events) {
    /**
     * A committed entry.
     *
     * @param entry the entry
     * @param token the proposal's token, 0 when it was not proposed here in this term
     */
    public record Apply(LogEntry entry, long token) {}
}
