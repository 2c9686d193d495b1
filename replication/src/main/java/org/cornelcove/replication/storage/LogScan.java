package org.cornelcove.replication.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.cornelcove.replication.core.LogEntry;

/**
 * What a segment holds.
 *
 * @param entries the entries up to the first unreadable one
 * @param offsets where each begins
 * @param endBytes where the last one ends
 * @param bad whether something unreadable follows
 * @param damaged whether a later record vouches for what is unreadable
 */
record LogScan(List<LogEntry> entries, List<Long> offsets, long endBytes, boolean bad, boolean damaged) {
    static LogScan of(ByteBuffer content, long firstIndex) {
        List<LogEntry> entries = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        int at = LogRecord.HEADER_BYTES;
        long index = firstIndex;
        while (at < content.limit()) {
            LogRecord.Parsed record = LogRecord.parse(content, at);
            if (record == null || record.entry().index() != index) {
                return new LogScan(entries, offsets, at, true, vouchedFor(content, at, index));
            }
            entries.add(record.entry());
            offsets.add((long) at);
            at += record.sizeBytes();
            index++;
        }
        return new LogScan(entries, offsets, at, false, false);
    }

    /** Looks at every later byte for a record that was written when the index was already durable. */
    private static boolean vouchedFor(ByteBuffer content, int from, long index) {
        for (int at = from; at < content.limit(); at++) {
            LogRecord.Parsed record = LogRecord.parse(content, at);
            if (record != null && record.entry().index() > index && record.durableIndex() >= index) {
                return true;
            }
        }
        return false;
    }
}
