package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

/**
 * A write, made durable in this order: the vote, the truncation of the log's end, the entries, the chunk, the snapshot,
 * the compaction of the log's beginning. Writes run in the order of their ids; any number of them may share one fsync.
 *
 * @param id ascending without gaps
 * @param vote the new vote, if it changed
 * @param truncateFrom the first entry to truncate, 0 for none
 * @param entries the entries to append
 * @param chunk a chunk of a snapshot being received; after the last chunk the snapshot replaces the log
 * @param snapshot a snapshot taken by this member
 * @param compactThrough the last entry that is no longer needed, 0 for none
 */
public record DiskWrite(
        long id,
        Optional<Vote> vote,
        long truncateFrom,
        List<LogEntry> entries,
        Optional<Message.SnapshotChunk> chunk,
        Optional<TakenSnapshot> snapshot,
        long compactThrough) {
    /**
     * A snapshot of the state machine.
     *
     * @param meta what it covers
     * @param state the serialized state
     */
    public record TakenSnapshot(SnapshotMeta meta, byte[] state) {}
}
