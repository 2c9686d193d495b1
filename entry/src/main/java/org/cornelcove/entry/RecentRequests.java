package org.cornelcove.entry;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** The traces of the most recent requests, in a ring buffer that overwrites the oldest. */
final class RecentRequests {
    private static final int CAPACITY = 4_096;

    private final AtomicReferenceArray<RequestTrace> ring = new AtomicReferenceArray<>(CAPACITY);
    private final AtomicLong next = new AtomicLong();

    void add(RequestTrace trace) {
        ring.lazySet((int) (next.getAndIncrement() % CAPACITY), trace);
    }

    /** Returns the trace of the newest request with the id, empty if none is retained. */
    List<String> explain(String requestId) {
        long end = next.get();
        for (long i = end - 1; i >= Math.max(0, end - CAPACITY); i--) {
            RequestTrace trace = ring.get((int) (i % CAPACITY));
            if (trace != null && trace.requestId().equals(requestId)) {
                return trace.lines();
            }
        }
        return List.of();
    }
}
