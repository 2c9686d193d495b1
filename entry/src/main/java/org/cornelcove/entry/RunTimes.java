package org.cornelcove.entry;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

/** Learns how long each kind of work runs, as an exponentially weighted mean. */
final class RunTimes {
    private static final int MAX_KINDS = 4_096;
    private static final long UNKNOWN = -1;
    private static final int NEW_SHARE = 8;

    private final ConcurrentMap<String, AtomicLong> meanNs = new ConcurrentHashMap<>();

    /** Returns the expected run time, 0 for a kind never seen. */
    long expectedNs(String kind) {
        AtomicLong mean = meanNs.get(kind);
        return mean == null ? 0 : mean.get();
    }

    void record(String kind, long ranNs) {
        AtomicLong mean = meanNs.get(kind);
        if (mean == null) {
            if (meanNs.size() >= MAX_KINDS) {
                return;
            }
            mean = meanNs.computeIfAbsent(kind, name -> new AtomicLong(UNKNOWN));
        }
        mean.updateAndGet(old -> old == UNKNOWN ? ranNs : old + (ranNs - old) / NEW_SHARE);
    }
}
