package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;

/** The decisions made about one request, for {@code explain}. Lines are formatted only on demand. */
final class RequestTrace {
    private static final long NANOS_PER_MICRO = 1_000;

    private final String requestId;
    private final long startNs;
    private final List<Line> lines = new ArrayList<>(4);

    private record Line(long atNs, String what, Object detail) {}

    RequestTrace(String requestId, long startNs) {
        this.requestId = requestId;
        this.startNs = startNs;
    }

    String requestId() {
        return requestId;
    }

    synchronized void add(long atNs, String what, Object detail) {
        lines.add(new Line(atNs, what, detail));
    }

    synchronized List<String> lines() {
        List<String> words = new ArrayList<>(lines.size());
        for (Line line : lines) {
            words.add("+" + (line.atNs - startNs) / NANOS_PER_MICRO + " us " + line.what + " " + line.detail);
        }
        return words;
    }
}
