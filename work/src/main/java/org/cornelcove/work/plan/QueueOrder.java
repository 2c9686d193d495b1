package org.cornelcove.work.plan;

import java.util.Comparator;

/**
 * The order in which steps that wait get room: jobs that can still meet their objective first, then those that are late,
 * last those that are so late that they are worth nothing to their caller; within these by priority, then by the instant
 * at which the job should be done. So a crest leaves few jobs late, and those don't pull others after them.
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
     * @param remainingMs how long its chain of work from this step on is likely to take
     */
    public record Waiting(int priority, long submittedMs, long objectiveMs, long remainingMs) {
        private int lateness(long nowMs) {
            long endMs = nowMs - submittedMs + remainingMs;
            return endMs <= objectiveMs ? 0 : endMs <= HOPELESS_FACTOR * objectiveMs ? 1 : 2;
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
        return Comparator.<Waiting, Integer>comparing(w -> w.lateness(nowMs))
                .thenComparing(Waiting::priority)
                .thenComparing(Waiting::dueMs);
    }
}
