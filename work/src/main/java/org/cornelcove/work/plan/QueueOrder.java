package org.cornelcove.work.plan;

import java.util.Comparator;

/**
 * The order in which steps that wait get room: by priority, then by the instant at which their job should be done. Jobs
 * that are so late that they earn nothing come last, so that they don't pull others after them.
 *
 * <p>Load pattern: a crest of several times the usual work, in which first come first served makes everything late.
 */
public final class QueueOrder {
    /** A job that takes this many times its objective is worth nothing to its caller any more. */
    private static final int HOPELESS_FACTOR = 3;

    private QueueOrder() {}

    /**
     * A step that waits.
     *
     * @param priority the queue's, 0 comes first
     * @param submittedMs when the job was accepted
     * @param objectiveMs how long the job may take
     */
    public record Waiting(int priority, long submittedMs, long objectiveMs) {
        private boolean hopeless(long nowMs) {
            return nowMs - submittedMs > HOPELESS_FACTOR * objectiveMs;
        }

        private long dueMs() {
            return submittedMs + objectiveMs;
        }
    }

    /**
     * Returns the order at an instant.
     *
     * @param nowMs the time on a monotonic clock
     * @return the order at an instant
     */
    public static Comparator<Waiting> at(long nowMs) {
        return Comparator.<Waiting, Boolean>comparing(w -> w.hopeless(nowMs))
                .thenComparing(Waiting::priority)
                .thenComparing(Waiting::dueMs);
    }
}
