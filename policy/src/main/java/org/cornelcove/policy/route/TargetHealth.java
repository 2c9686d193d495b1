package org.cornelcove.policy.route;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Recent health of one target, and its ejection state.
 *
 * <p>The ejection period doubles with each consecutive ejection. Afterwards the target is on probation with one request at
 * a time until it has answered a few requests. {@link OutlierEjector} decides which targets are ejected.
 *
 * <p>The slowdown is averaged over ten answers, but at least over one second. Otherwise the average of a fast service
 * would cover only a millisecond, and a target that paused briefly, with eight requests in flight that all end late
 * together, would seem slow. Example: at 8,000 answers per second and 8 times the usual run time, a target is rated three
 * times slower than the others after a third of a second.
 *
 * <p>Thread-safe: the state is one immutable record that is replaced atomically, so that a reader never sees a partial
 * update.
 */
public final class TargetHealth {
    private static final double SMOOTHING = 0.1;
    /** Upper limit of one sample, so that a single slow run does not make a target seem slow. */
    private static final double MAX_SLOWDOWN = 8;

    private static final double SLOWDOWN_OVER_MS = 1_000;
    private static final long FIRST_EJECTION_MS = 5000;
    private static final int MAX_DOUBLINGS = 4;
    private static final int PROBATION_ANSWERS = 5;

    private final AtomicReference<Record> record = new AtomicReference<>(Record.NEW);

    /**
     * The state of a target.
     *
     * @param outcomes answers and failures since the last ejection
     * @param failuresInRow failures since the last answer
     * @param failureShare smoothed share of failures, 0 to 1
     * @param slowdown smoothed ratio of run time to the median of the kind of work; 1 before the first answer
     * @param answeredMs the time of the last answer
     * @param ejected whether it was ejected and has not completed its probation since
     * @param ejectedUntilMs the end of the ejection period
     * @param ejections the number of consecutive ejections
     * @param probationLeft answers left until probation ends; above 0 it gets one request at a time
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
            boolean onProbation = probationLeft > 0 && !isEjected(nowMs);
            boolean trusted = onProbation && probationLeft == 1;
            return new Record(
                    outcomes + 1,
                    0,
                    failureShare + SMOOTHING * (0 - failureShare),
                    slowdown + weight(nowMs) * (latest - slowdown),
                    Math.max(answeredMs, nowMs),
                    ejected && !trusted,
                    ejectedUntilMs,
                    trusted ? 0 : ejections,
                    onProbation ? probationLeft - 1 : probationLeft);
        }

        /** Returns the weight of a new sample: the elapsed share of the averaging time, at most {@code SMOOTHING}. */
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
     * Returns the health of a new target.
     *
     * @return health without any outcome
     */
    public static TargetHealth create() {
        return new TargetHealth();
    }

    /**
     * Returns the number of a target's slots that may be used: none while ejected, at most one on probation.
     *
     * @param slots the target's total slots
     * @param nowMs the current instant
     * @return the number of usable slots
     */
    public int usableSlots(int slots, long nowMs) {
        Record now = record.get();
        if (now.isEjected(nowMs)) {
            return 0;
        }
        return now.probationLeft > 0 ? Math.min(1, slots) : slots;
    }

    /**
     * Checks whether the target is ejected and gets no requests.
     *
     * @param nowMs the current instant
     * @return true until the ejection period ends
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

    /** Ejects the target for a period that doubles with each consecutive ejection; probation follows. */
    void eject(long nowMs) {
        record.updateAndGet(old -> old.eject(nowMs));
    }
}
