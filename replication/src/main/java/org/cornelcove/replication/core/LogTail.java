package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;

/**
 * The log entries kept in memory: those after a base index, which a snapshot covers. Their number is bounded by the
 * snapshot interval. An entry's index gives its array position, so that a lookup takes constant time and a slice copies
 * references only.
 */
final class LogTail {
    private long baseIndex;
    private long baseTerm;
    private ArrayList<LogEntry> entries = new ArrayList<>();

    LogTail(long baseIndex, long baseTerm) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /** Returns the entry's term, or -1 when the entry is not in memory. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex() ? -1 : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
    }

    void truncateFrom(long index) {
        while (lastIndex() >= index) {
            entries.remove(entries.size() - 1);
        }
    }

    /** Returns entries from the given index on, up to {@code maxBytes} of payload but at least one. */
    List<LogEntry> slice(long from, int maxBytes) {
        long sum = 0;
        long to = from;
        while (to <= lastIndex() && (to == from || sum + get(to).payload().length <= maxBytes)) {
            sum += get(to).payload().length;
            to++;
        }
        return List.copyOf(entries.subList((int) (from - baseIndex - 1), (int) (to - baseIndex - 1)));
    }

    /** Returns all entries from the given index on. */
    List<LogEntry> entriesFrom(long index) {
        return index > lastIndex() ? List.of() : slice(index, Integer.MAX_VALUE);
    }

    /** Drops entries up to and including the given index. */
    void compactThrough(long index) {
        long term = term(index);
        if (index <= baseIndex || term < 0) {
            return;
        }
        entries = new ArrayList<>(entries.subList((int) (index - baseIndex), entries.size()));
        baseIndex = index;
        baseTerm = term;
    }

    void reset(long index, long term) {
        entries = new ArrayList<>();
        baseIndex = index;
        baseTerm = term;
    }

    /** Returns the last entry at or before the index whose term is not above the given one. */
    long lastIndexWithTermAtMost(long index, long term) {
        long i = Math.min(index, lastIndex());
        while (i > baseIndex && term(i) > term) {
            i--;
        }
        return Math.max(i, baseIndex);
    }
}
