package org.cornelcove.policy.route;

import java.util.concurrent.atomic.AtomicReference;

/**
 * How well one target has answered lately, and the term of an ejection.
 *
 * <p>The term doubles with each ejection in a row; afterwards the target is on probation with one request at a time until
 * it has answered a few. {@link HealthJudge} decides who is ejected.
 *
 * <p>The slowdown is averaged over ten answers, but never over less than a second. Otherwise ten answers of a fast
 * service are a millisecond, and a target that stood still for a moment, with eight requests in flight that all end late
 * at once, looks slow. Example: at 8,000 answers a second and 8 times the usual run time a target is three times slower
 * than the others after a third of a second.
 *
 * <p>Thread-safe: all that is known is one immutable
 * record, swapped in whole, so that a reader never sees half of an answer or of an ejection.
 */
public final class TargetHealth {
    private static final double SMOOTHING = 0.1;
    /** One straggler must not make a target look slow. */
    private static final double MAX_SLOWDOWN = 8;

    private static final double SLOWDOWN_OVER_MS = 1_000;
    private static final long FIRST_EJECTION_MS = 5000;
    private static final int MAX_DOUBLINGS = 4;
    private static final int PROBATION_ANSWERS = 5;

    private final AtomicReference<Record> record = new AtomicReference<>(Record.NEW);

    /**
     * What is known.
     *
     * @param outcomes answers and failures since the last ejection
     * @param failuresInRow failures since the last answer
     * @param failureShare share of failures, smoothed
     * @param slowdown run time over the median of the kind of work, smoothed; 1 before the first answer
     * @param answeredMs when the last answer came
     * @param ejected whether it was ejected and has not been trusted again since
     * @param ejectedUntilMs when it is tried again
     * @param ejections ejections in a row
     * @param probationLeft answers still owed before it is trusted again; above 0 it gets one request at a time
     */
    private record Record(
            long outcomes,
            int failuresInRow,
            double failureShare,
            double slowdown,
            long answeredMs,
            boolean ejected,
            long ejectedUntilMs,
            int ejections,
            int probationLeft) {
        private static final Record NEW = new Record(0, 0, 0, 1, Long.MIN_VALUE, false, 0, 0, 0);

        private boolean isEjected(long nowMs) {
            return ejected && nowMs < ejectedUntilMs;
        }

        private Record answered(double latest, long nowMs) {
            boolean onTrial = probationLeft > 0 && !isEjected(nowMs);
            boolean trusted = onTrial && probationLeft == 1;
            return new Record(
                    outcomes + 1,
                    0,
                    failureShare + SMOOTHING * (0 - failureShare),
                    slowdown + weight(nowMs) * (latest - slowdown),
                    Math.max(answeredMs, nowMs),
                    ejected && !trusted,
                    ejectedUntilMs,
                    trusted ? 0 : ejections,
                    onTrial ? probationLeft - 1 : probationLeft);
        }

        /** The part of the averaging time that passed since the last answer, at most that of one answer in ten. */
        private double weight(long nowMs) {
            double sinceMs = Math.max(0.0, (double) nowMs - answeredMs);
            return Math.min(SMOOTHING, sinceMs / SLOWDOWN_OVER_MS);
        }

        private Record failed() {
            return new Record(
                    outcomes + 1,
                    failuresInRow + 1,
                    failureShare + SMOOTHING * (1 - failureShare),
                    slowdown,
                    answeredMs,
                    ejected,
                    ejectedUntilMs,
                    ejections,
                    probationLeft);
        }

        private Record eject(long nowMs) {
            long untilMs = nowMs + (FIRST_EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS));
            return new Record(0, 0, 0, 1, answeredMs, true, untilMs, ejections + 1, PROBATION_ANSWERS);
        }
    }

    private TargetHealth() {}

    /**
     * Returns the health of a target of which nothing is known yet.
     *
     * @return the health
     */
    public static TargetHealth create() {
        return new TargetHealth();
    }

    /**
     * Returns how many of a target's slots may be used: none while ejected, one on probation.
     *
     * @param slots its slots
     * @param nowMs the current instant
     * @return how many
     */
    public int usableSlots(int slots, long nowMs) {
        Record now = record.get();
        if (now.isEjected(nowMs)) {
            return 0;
        }
        return now.probationLeft > 0 ? Math.min(1, slots) : slots;
    }

    /**
     * Tells whether the target gets nothing at the moment.
     *
     * @param nowMs the current instant
     * @return whether it is ejected
     */
    public boolean isEjected(long nowMs) {
        return record.get().isEjected(nowMs);
    }

    boolean isOnProbation() {
        return record.get().probationLeft > 0;
    }

    int failuresInRow() {
        return record.get().failuresInRow;
    }

    double failureShare() {
        return record.get().failureShare;
    }

    double slowdown() {
        return record.get().slowdown;
    }

    long outcomes() {
        return record.get().outcomes;
    }

    void answered(long tookUs, long expectedUs, long nowMs) {
        double latest = Math.min(MAX_SLOWDOWN, (double) tookUs / Math.max(1, expectedUs));
        record.updateAndGet(old -> old.answered(latest, nowMs));
    }

    void failed() {
        record.updateAndGet(Record::failed);
    }

    /** Ejects for a term that doubles with each ejection in a row; probation follows. */
    void eject(long nowMs) {
        record.updateAndGet(old -> old.eject(nowMs));
    }
}
