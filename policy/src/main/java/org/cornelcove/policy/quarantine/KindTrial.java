package org.cornelcove.policy.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the concurrent attempts of a kind of work that fails repeatedly.
 *
 * <p>After {@code FAILURES_IN_ROW} failures on healthy workers without a success in between, a kind may run only a
 * few attempts concurrently; each success doubles the limit. Without a limit, a wave of failing tasks would take all
 * resources that become free. Limiting every kind that was never seen was rejected: it delayed ordinary work whose runs
 * take minutes, and all work after a change of leader. Not thread-safe.
 */
public final class KindTrial {
    private static final int FAILURES_IN_ROW = 8;
    private static final int FIRST_LIMIT = 8;
    private static final int UNLIMITED_FROM = 1024;
    private static final int MAX_KINDS = 10_000;

    private final Map<String, Kind> kinds = new HashMap<>();

    private KindTrial() {}

    /**
     * Returns an empty record, in which no kind is limited.
     *
     * @return the record
     */
    public static KindTrial create() {
        return new KindTrial();
    }

    /**
     * Checks whether one more attempt of the kind may start.
     *
     * @param kind the kind of work
     * @return false only while the kind's limit is reached
     */
    public boolean mayStart(String kind) {
        Kind known = kinds.get(kind);
        return known == null || known.limit >= UNLIMITED_FROM || known.running < known.limit;
    }

    /**
     * Records a start.
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
     * Records an end that is no evidence about the kind: evicted, lost or cancelled.
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
     * Records a success.
     *
     * @param kind the kind of work
     */
    public void succeeded(String kind) {
        ended(kind);
        Kind known = kinds.get(kind);
        if (known != null) {
            known.failuresInRow = 0;
            known.limit = Math.min(UNLIMITED_FROM, known.limit * 2);
        }
    }

    /**
     * Records a failure on a healthy worker.
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
            known.limit = FIRST_LIMIT;
        }
    }

    private static final class Kind {
        private int running;
        private int failuresInRow;
        private int limit = UNLIMITED_FROM;
    }
}
