package org.cornelcove.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.replication.core.LogEntry;

/**
 * The log, stored in segments: files of bounded size, each named after the first index that it may hold.
 *
 * <p>Entries are appended to the newest segment; {@link #sync()} makes all of them durable by one fsync. A segment is
 * synced before the next one is created, so only the newest can hold entries that were never synced.
 *
 * <p>A crash can leave torn writes in any page of the unsynced end of the newest segment. Each record contains the
 * highest index that was durable when the record was written. If no later record shows that an unreadable record was
 * durable, it belongs to the unsynced end, and the segment is truncated there. Otherwise an acknowledged entry is lost,
 * and the log is rejected as damaged. Damage to the last batch after it was synced can't be distinguished from a torn
 * write, since no later record shows that the batch was durable.
 *
 * <p>Example: records 1-3 are synced, 4-6 are written, then the power fails; 5 is unreadable. The durable index in 6 is
 * 3, so 4 is kept, and 5 and 6 are truncated. If 3 were unreadable, 4 would show that 3 had been durable.
 */
final class SegmentedLog implements AutoCloseable {
    private static final String SUFFIX = ".segment";

    private static final class Segment {
        final long firstIndex;
        final String name;
        final DataFile file;
        final List<Long> offsets = new ArrayList<>();
        long sizeBytes;

        Segment(long firstIndex, DataFile file) {
            this.firstIndex = firstIndex;
            this.name = nameOf(firstIndex);
            this.file = file;
        }

        long lastIndex() {
            return firstIndex + offsets.size() - 1;
        }
    }

    private final DataFolder folder;
    private final long segmentBytes;
    private final List<Segment> segments = new ArrayList<>();
    private long durableIndex;
    private boolean dirty;

    private SegmentedLog(DataFolder folder, long segmentBytes) {
        this.folder = folder;
        this.segmentBytes = segmentBytes;
    }

    /** Creates an empty log whose first entry will have the given index. */
    static SegmentedLog create(DataFolder folder, long segmentBytes, long firstIndex) throws IOException {
        SegmentedLog log = new SegmentedLog(folder, segmentBytes);
        log.addSegment(firstIndex);
        log.durableIndex = firstIndex - 1;
        return log;
    }

    /**
     * Opens a log and reads its entries.
     *
     * @param snapshotIndex the last index that the snapshot covers; if segments that end before it are followed by one
     *     that starts right after it, a crash interrupted {@link #reset} between its two steps
     * @param entries receives the entries
     */
    static SegmentedLog open(DataFolder folder, long segmentBytes, long snapshotIndex, List<LogEntry> entries)
            throws IOException {
        SegmentedLog log = new SegmentedLog(folder, segmentBytes);
        List<Long> firstIndexes = firstIndexesIn(folder);
        if (firstIndexes.isEmpty()) {
            throw damaged(nameOf(snapshotIndex + 1), 0, "no segment exists");
        }
        try {
            for (int i = 0; i < firstIndexes.size(); i++) {
                log.openSegment(firstIndexes.get(i), i == firstIndexes.size() - 1, snapshotIndex, entries);
            }
            // A process that ended before its sync left entries that are readable and not durable.
            log.newest().file.sync();
        } catch (IOException | RuntimeException e) {
            log.close();
            throw e;
        }
        log.durableIndex = log.lastIndex();
        return log;
    }

    static List<Long> firstIndexesIn(DataFolder folder) throws IOException {
        return folder.list().stream()
                .filter(name -> name.endsWith(SUFFIX))
                .map(name -> Long.parseLong(name.substring(0, name.length() - SUFFIX.length())))
                .sorted()
                .toList();
    }

    long lastIndex() {
        return newest().lastIndex();
    }

    long firstIndex() {
        return segments.get(0).firstIndex;
    }

    void append(List<LogEntry> entries) throws IOException {
        int from = 0;
        while (from < entries.size()) {
            if (newest().sizeBytes >= segmentBytes) {
                sync();
                addSegment(lastIndex() + 1);
            }
            from = appendToNewest(entries, from);
        }
    }

    void sync() throws IOException {
        if (dirty) {
            newest().file.sync();
            dirty = false;
        }
        durableIndex = lastIndex();
    }

    /** Deletes the entries from the given index on. */
    void truncateFrom(long index) throws IOException {
        while (segments.size() > 1 && newest().firstIndex >= index) {
            deleteSegment(segments.remove(segments.size() - 1));
            folder.sync();
            dirty = false;
        }
        Segment segment = newest();
        if (index <= segment.lastIndex()) {
            int position = (int) (index - segment.firstIndex);
            segment.sizeBytes = segment.offsets.get(position);
            segment.offsets.subList(position, segment.offsets.size()).clear();
            segment.file.truncate(segment.sizeBytes);
            segment.file.sync();
        }
        durableIndex = Math.min(durableIndex, lastIndex());
    }

    /** Deletes segments that hold only entries up to the given index. */
    void compactThrough(long index) throws IOException {
        while (segments.size() > 1 && segments.get(0).lastIndex() <= index) {
            deleteSegment(segments.remove(0));
            folder.sync();
        }
    }

    /** Deletes all entries; the next entry will have the given index. */
    void reset(long firstIndex) throws IOException {
        List<Segment> old = new ArrayList<>(segments);
        boolean reuse = old.stream().anyMatch(s -> s.firstIndex == firstIndex);
        if (reuse) {
            truncateFrom(firstIndex);
            old.removeIf(s -> s.firstIndex >= firstIndex);
        } else {
            addSegment(firstIndex);
        }
        segments.removeAll(old);
        for (Segment segment : old) {
            deleteSegment(segment);
            folder.sync();
        }
        dirty = false;
        durableIndex = firstIndex - 1;
    }

    @Override
    public void close() throws IOException {
        IOException failure = null;
        for (Segment segment : segments) {
            try {
                segment.file.close();
            } catch (IOException e) {
                failure = e;
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    private Segment newest() {
        return segments.get(segments.size() - 1);
    }

    private void addSegment(long firstIndex) throws IOException {
        Segment segment = new Segment(firstIndex, folder.open(nameOf(firstIndex)));
        segment.file.truncate(0);
        ByteBuffer header = LogRecord.header(firstIndex);
        segment.sizeBytes = header.remaining();
        segment.file.write(header, 0);
        segment.file.sync();
        folder.sync();
        segments.add(segment);
    }

    private void deleteSegment(Segment segment) throws IOException {
        segment.file.close();
        folder.delete(segment.name);
    }

    private int appendToNewest(List<LogEntry> entries, int from) throws IOException {
        Segment segment = newest();
        int to = from;
        long bytes = 0;
        while (to < entries.size() && (to == from || segment.sizeBytes + bytes < segmentBytes)) {
            bytes += LogRecord.sizeBytes(entries.get(to));
            to++;
        }
        ByteBuffer buffer = ByteBuffer.allocate(Math.toIntExact(bytes));
        long offset = segment.sizeBytes;
        for (LogEntry entry : entries.subList(from, to)) {
            if (entry.index() != segment.lastIndex() + 1) {
                throw new IllegalStateException(
                        "entry index " + entry.index() + " does not follow last index " + segment.lastIndex());
            }
            segment.offsets.add(offset + buffer.position());
            LogRecord.put(buffer, entry, durableIndex);
        }
        dirty = true;
        segment.file.write(buffer.flip(), offset);
        segment.sizeBytes = offset + bytes;
        return to;
    }

    private void openSegment(long firstIndex, boolean newest, long snapshotIndex, List<LogEntry> entries)
            throws IOException {
        Segment segment = new Segment(firstIndex, folder.open(nameOf(firstIndex)));
        ByteBuffer content = ByteBuffer.allocate(Math.toIntExact(segment.file.size()));
        segment.file.read(content, 0);
        content.flip();
        boolean gap = !segments.isEmpty() && firstIndex != lastIndex() + 1;
        if (gap) {
            if (firstIndex != snapshotIndex + 1) {
                throw damaged(segment.name, 0, "entries before " + firstIndex + " are missing");
            }
            deleteAllSegments(entries);
        }
        segments.add(segment);
        if (!LogRecord.hasValidHeader(content, firstIndex)) {
            rewriteTornHeader(segment, newest);
            return;
        }
        LogScan scan = LogScan.of(content, firstIndex);
        if (scan.unreadableRecordFollows() && (!newest || scan.damaged())) {
            throw damaged(segment.name, scan.endBytes(), "an entry that was durable is unreadable");
        }
        entries.addAll(scan.entries());
        segment.offsets.addAll(scan.offsets());
        segment.sizeBytes = scan.endBytes();
        if (scan.endBytes() < content.limit()) {
            segment.file.truncate(scan.endBytes());
            segment.file.sync();
        }
    }

    private void deleteAllSegments(List<LogEntry> entries) throws IOException {
        for (Segment segment : segments) {
            deleteSegment(segment);
        }
        folder.sync();
        segments.clear();
        entries.clear();
    }

    /** Rewrites a torn header. Entries are appended only after the header is synced, so this segment holds none. */
    private void rewriteTornHeader(Segment segment, boolean newest) throws IOException {
        if (!newest || segment.file.size() > LogRecord.HEADER_BYTES) {
            throw damaged(segment.name, 0, "the header is unreadable");
        }
        segment.file.truncate(0);
        segment.file.write(LogRecord.header(segment.firstIndex), 0);
        segment.file.sync();
        segment.sizeBytes = LogRecord.HEADER_BYTES;
    }

    private static String nameOf(long firstIndex) {
        return String.format("%020d%s", firstIndex, SUFFIX);
    }

    private static RuntimeException damaged(String name, long offset, String why) {
        return Failure.of(ErrorKind.LOG_DAMAGED, name, offset, why).asException();
    }
}
