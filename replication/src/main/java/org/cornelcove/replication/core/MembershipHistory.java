package org.cornelcove.replication.core;

import java.util.TreeMap;

/** The membership at each entry of the log. The newest one is in force, committed or not. */
final class MembershipHistory {
    private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

    MembershipHistory(long index, Membership membership) {
        byIndex.put(index, membership);
    }

    Membership current() {
        return byIndex.lastEntry().getValue();
    }

    long currentIndex() {
        return byIndex.lastKey();
    }

    Membership at(long index) {
        var entry = byIndex.floorEntry(index);
        return entry == null ? byIndex.firstEntry().getValue() : entry.getValue();
    }

    void append(LogEntry entry) {
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            byIndex.put(entry.index(), MessageCodec.decodeMembership(entry.payload()));
        }
    }

    void truncateFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    void compactThrough(long index) {
        Membership membership = at(index);
        byIndex.headMap(index, true).clear();
        byIndex.put(index, membership);
    }

    void reset(long index, Membership membership) {
        byIndex.clear();
        byIndex.put(index, membership);
    }
}
