package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

/**
 * What must become durable, in this order: the vote, the cut of the log's end, the entries, the chunk, the snapshot, the
 * cut of the log's beginning. Writes are carried out in the order of their ids; any number of them may share one fsync.
 *
 * @param id rising without gaps
 * @param vote the new vote, if it changed
 * @param truncateFrom the first entry to cut off, 0 for none
 * @param entries the entries to append
 * @param chunk a piece of a snapshot that is being received; with the last one it takes the place of the log
 * @param snapshot a snapshot that was taken here
 * @param compactThrough entries up to this one are no longer needed, 0 for none
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
     * @param state the state
     */
    public record TakenSnapshot(SnapshotMeta meta, byte[] state) {}
}
