package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

/**
 * The work pending since the last {@link ReplicaCore#drain}. Messages may be sent at once; the core holds back those
 * that depend on a write until the write is reported as durable.
 *
 * @param messages the messages to send
 * @param chunkReads the snapshot chunks to read and send
 * @param write the write to carry out, if any
 * @param restore an installed snapshot that the state machine must load before the applies
 * @param applies the committed entries to apply, in order
 * @param takeSnapshot whether to take a snapshot after these applies
 * @param events the events for the caller, in order
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
     * @param token the proposal's token, 0 when it was not proposed on this member in this term
     */
    public record Apply(LogEntry entry, long token) {}
}
