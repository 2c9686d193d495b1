package org.cornelcove.replication.storage;

import java.nio.ByteBuffer;

import org.cornelcove.replication.core.EntryKind;
import org.cornelcove.replication.core.LogEntry;

/**
 * The binary format of a log entry in a segment: payload length, checksum of everything that follows, index, term, the
 * highest index that was durable when the record was written, kind, payload. The segment header consists of a magic
 * number, the first index of the segment and a checksum.
 */
final class LogRecord {
    static final int HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;
    private static final long MAGIC = 0x636f726e656c3031L;
    private static final int PREFIX_BYTES = 2 * Integer.BYTES;
    private static final int FIXED_BYTES = PREFIX_BYTES + 3 * Long.BYTES + 1;
    private static final EntryKind[] KINDS = EntryKind.values();

    /** A decoded record and its encoded size. */
    record Parsed(LogEntry entry, long durableIndex, int sizeBytes) {}

    private LogRecord() {}

    static ByteBuffer header(long firstIndex) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(MAGIC).putLong(firstIndex);
        header.putInt(StorageFiles.checksum(header.duplicate().flip()));
        return header.flip();
    }

    static boolean hasValidHeader(ByteBuffer content, long firstIndex) {
        return content.limit() >= HEADER_BYTES && content.slice(0, HEADER_BYTES).equals(header(firstIndex));
    }

    static long sizeBytes(LogEntry entry) {
        return FIXED_BYTES + (long) entry.payload().length;
    }

    static void put(ByteBuffer buffer, LogEntry entry, long durableIndex) {
        int start = buffer.position();
        buffer.putInt(entry.payload().length).putInt(0);
        buffer.putLong(entry.index()).putLong(entry.term()).putLong(durableIndex);
        buffer.put((byte) entry.kind().ordinal()).put(entry.payload());
        int from = start + PREFIX_BYTES;
        buffer.putInt(start + Integer.BYTES, StorageFiles.checksum(buffer.slice(from, buffer.position() - from)));
    }

    /** Decodes the record at the offset; returns null if it is incomplete or invalid. */
    static Parsed parse(ByteBuffer content, int offset) {
        if (offset + FIXED_BYTES > content.limit()) {
            return null;
        }
        int length = content.getInt(offset);
        if (length < 0 || length > content.limit() - offset - FIXED_BYTES) {
            return null;
        }
        int from = offset + PREFIX_BYTES;
        int size = FIXED_BYTES + length;
        if (content.getInt(offset + Integer.BYTES) != StorageFiles.checksum(content.slice(from, size - PREFIX_BYTES))) {
            return null;
        }
        int kind = content.get(from + 3 * Long.BYTES);
        if (kind < 0 || kind >= KINDS.length) {
            return null;
        }
        byte[] payload = new byte[length];
        content.get(offset + FIXED_BYTES, payload);
        LogEntry entry = new LogEntry(content.getLong(from), content.getLong(from + Long.BYTES), KINDS[kind], payload);
        return new Parsed(entry, content.getLong(from + 2 * Long.BYTES), size);
    }
}
