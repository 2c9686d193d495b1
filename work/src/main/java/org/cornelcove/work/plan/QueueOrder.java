package org.cornelcove.work.plan;

import java.util.Comparator;

/**
 * The order in which waiting steps are placed: first jobs that can still meet their objective, then late ones, then those
 * so late that their result has no value to the caller; within each rank by priority, then by the due time of the job. So
 * a load peak makes few jobs late, and late jobs do not delay others.
 *
 * <p>Lasting tasks come after all short work, since they release their room only when their job is cancelled: placed
 * first, they reserved the whole fleet and left no room for peaks of short work. A lasting task that ran and stopped comes
 * before everything else once it has waited for {@value #STOPPED_WAITS_MS} ms; otherwise it would wait until no more short
 * work arrives.
 *
 * <p>Load pattern: a peak of several times the usual load, in which first come, first served makes every job late.
 */
public final class QueueOrder {
    /** Multiple of its objective beyond which the result of a job has no value to its caller. */
    public static final int HOPELESS_FACTOR = 3;
    /** How long a stopped lasting task waits behind other work; the platform counts it as lost after 6 s. */
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
     * @param priority the priority of the queue, 0 is the highest
     * @param submittedMs when the job was accepted
     * @param objectiveMs how long the job may take
     * @param remainingMs the estimated time of the longest chain of steps from this one on
     * @param lasting whether its tasks run until the job is cancelled
     * @param stoppedMs how long a task that ran before has waited, 0 if there is none
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
     * Compares waiting steps by their order at an instant.
     *
     * @param nowMs the time on the clock of {@link Waiting#submittedMs}
     * @return a comparator that puts the most urgent step first
     */
    public static Comparator<Waiting> at(long nowMs) {
        return Comparator.<Waiting, Rank>comparing(w -> w.rank(nowMs))
                .thenComparing(Waiting::priority)
                .thenComparing(Waiting::dueMs);
    }
}
