package org.cornelcove.policy.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many attempts run at once of a kind of work that keeps failing.
 *
 * <p>After {@code FAILURES_IN_ROW} failures on healthy workers without a success in between, a kind takes only a few
 * places at a time; each success doubles the bound. Without it a wave of failing tasks takes every place that becomes
 * free. A bound on each kind that was never seen lost: it held back ordinary work whose runs take minutes, and all work
 * after a change of leader. Not thread-safe.
 */
public final class KindTrial {
    private static final int FAILURES_IN_ROW = 8;
    private static final int FIRST_BOUND = 8;
    private static final int UNBOUNDED_FROM = 1024;
    private static final int MAX_KINDS = 10_000;

    private final Map<String, Kind> kinds = new HashMap<>();

    private KindTrial() {}

    /**
     * Returns an object that knows no kind.
     *
     * @return the object
     */
    public static KindTrial create() {
        return new KindTrial();
    }

    /**
     * Tells whether one more attempt of the kind may start.
     *
     * @param kind the kind of work
     * @return whether it may
     */
    public boolean mayStart(String kind) {
        Kind known = kinds.get(kind);
        return known == null || known.bound >= UNBOUNDED_FROM || known.running < known.bound;
    }

    /**
     * Notes a start.
     *
     * @param kind the kind of work
     */
    public void started(String kind) {
        if (kinds.size() >= MAX_KINDS) {
            kinds.values().removeIf(k -> k.running == 0);
        }
        kinds.computeIfAbsent(kind, k -> new Kind()).running++;
    }

    /**
     * Notes an end that says nothing about the kind: evicted, lost, cancelled.
     *
     * @param kind the kind of work
     */
    public void ended(String kind) {
        Kind known = kinds.get(kind);
        if (known != null) {
            known.running = Math.max(0, known.running - 1);
        }
    }

    /**
     * Notes a success.
     *
     * @param kind the kind of work
     */
    public void succeeded(String kind) {
        ended(kind);
        Kind known = kinds.get(kind);
        if (known != null) {
            known.failuresInRow = 0;
            known.bound = Math.min(UNBOUNDED_FROM, known.bound * 2);
        }
    }

    /**
     * Notes a failure on a worker in good standing.
     *
     * @param kind the kind of work
     */
    public void failed(String kind) {
        ended(kind);
        Kind known = kinds.get(kind);
        if (known == null) {
            return;
        }
        known.failuresInRow++;
        if (known.failuresInRow >= FAILURES_IN_ROW) {
            known.bound = FIRST_BOUND;
        }
    }

    private static final class Kind {
        private int running;
        private int failuresInRow;
        private int bound = UNBOUNDED_FROM;
    }
}
