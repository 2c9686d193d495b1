package org.cornelcove.entry;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** The traces of the newest requests; a new one takes the place of the oldest. */
final class RecentRequests {
    private static final int KEPT = 4_096;

    private final AtomicReferenceArray<RequestTrace> ring = new AtomicReferenceArray<>(KEPT);
    private final AtomicLong next = new AtomicLong();

    void add(RequestTrace trace) {
        ring.lazySet((int) (next.getAndIncrement() % KEPT), trace);
    }

    /** Returns the lines about the newest request of that id, empty when it is not among those kept. */
    List<String> explain(String requestId) {
        long end = next.get();
        for (long i = end - 1; i >= Math.max(0, end - KEPT); i--) {
            RequestTrace trace = ring.get((int) (i % KEPT));
            if (trace != null && trace.requestId().equals(requestId)) {
                return trace.lines();
            }
        }
        return List.of();
    }
}
