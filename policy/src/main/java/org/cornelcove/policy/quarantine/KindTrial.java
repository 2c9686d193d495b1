package org.cornelcove.policy.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many attempts of a kind of work run at once until some have succeeded.
 *
 * <p>A wave of tasks of a kind that nobody has seen, or that has begun to fail, takes only a few places at a time; each
 * success doubles the bound, each failure in a row halves it down to the first. Without it a wave of failing tasks takes
 * every place that becomes free, and its failures hide a worker's. Not thread-safe.
 */
public final class KindTrial {
    private static final int FIRST_BOUND = 16;
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
        if (known != null) {
            known.bound = Math.max(FIRST_BOUND, known.bound / 2);
        }
    }

    private static final class Kind {
        private int running;
        private int bound = FIRST_BOUND;
    }
}
