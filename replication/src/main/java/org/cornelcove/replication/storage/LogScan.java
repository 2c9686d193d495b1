package org.cornelcove.replication.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.cornelcove.replication.core.LogEntry;

/**
 * The result of reading the records of a segment.
 *
 * @param entries the entries before the first unreadable record
 * @param offsets the offset of each entry, in bytes
 * @param endBytes the offset at which the last entry ends
 * @param unreadableRecordFollows whether an unreadable record follows
 * @param damaged whether a later record shows that the unreadable one was durable
 */
record LogScan(
        List<LogEntry> entries, List<Long> offsets, long endBytes, boolean unreadableRecordFollows, boolean damaged) {
    static LogScan of(ByteBuffer content, long firstIndex) {
        List<LogEntry> entries = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        int at = LogRecord.HEADER_BYTES;
        long index = firstIndex;
        while (at < content.limit()) {
            LogRecord.Parsed record = LogRecord.parse(content, at);
            if (record == null || record.entry().index() != index) {
                return new LogScan(entries, offsets, at, true, wasDurable(content, at, index));
            }
            entries.add(record.entry());
            offsets.add((long) at);
            at += record.sizeBytes();
            index++;
        }
        return new LogScan(entries, offsets, at, false, false);
    }

    /** Tries every later offset for a record that was written when the index was already durable. */
    private static boolean wasDurable(ByteBuffer content, int from, long index) {
        for (int at = from; at < content.limit(); at++) {
            LogRecord.Parsed record = LogRecord.parse(content, at);
            if (record != null && record.entry().index() > index && record.durableIndex() >= index) {
                return true;
            }
        }
        return false;
    }
}
