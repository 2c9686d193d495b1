package org.cornelcove.work.plan;

import java.util.Comparator;

/**
 * The order in which steps that wait get room: jobs that can still meet their objective first, then those that are late,
 * last those that are so late that they are worth nothing to their caller; within these by priority, then by the instant
 * at which the job should be done. So a crest leaves few jobs late, and those don't pull others after them.
 *
 * <p>Lasting tasks come after all short work, since they give their room back only when their job is cancelled: placed
 * first, they reserved the whole fleet, and every crest of short work found it full. One that ran and stopped goes first
 * of all once it has waited for {@value #STOPPED_WAITS_MS} ms; else it would wait for as long as short work keeps coming.
 *
 * <p>Load pattern: a crest of several times the usual work, in which first come first served makes everything late.
 */
public final class QueueOrder {
    /** A job that takes this many times its objective is worth nothing to its caller any more. */
    private static final int HOPELESS_FACTOR = 3;
    /** How long a stopped lasting task waits behind other work; the platform calls it lost after 6 s. */
    private static final long STOPPED_WAITS_MS = 5000;

    private enum Rank {
        STOPPED,
        IN_TIME,
        LATE,
        HOPELESS,
        LASTING
    }

    private QueueOrder() {}

    /**
     * A step that waits.
     *
     * @param priority the queue's, 0 comes first
     * @param submittedMs when the job was accepted
     * @param objectiveMs how long the job may take
     * @param remainingMs how long its chain of work from this step on is likely to take
     * @param lasting whether its tasks run until the job is cancelled
     * @param stoppedMs how long one of them that ran before has waited, 0 when there is none
     */
    public record Waiting(
            int priority, long submittedMs, long objectiveMs, long remainingMs, boolean lasting, long stoppedMs) {
        private Rank rank(long nowMs) {
            if (lasting) {
                return stoppedMs < STOPPED_WAITS_MS ? Rank.LASTING : Rank.STOPPED;
            }
            long endMs = nowMs - submittedMs + remainingMs;
            return endMs <= objectiveMs
                    ? Rank.IN_TIME
                    : endMs <= HOPELESS_FACTOR * objectiveMs ? Rank.LATE : Rank.HOPELESS;
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
        return Comparator.<Waiting, Rank>comparing(w -> w.rank(nowMs))
                .thenComparing(Waiting::priority)
                .thenComparing(Waiting::dueMs);
    }
}
