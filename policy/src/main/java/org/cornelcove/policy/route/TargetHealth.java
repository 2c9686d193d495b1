package org.cornelcove.policy.route;

/**
 * How well one target has answered lately, and the term of an ejection.
 *
 * <p>The term doubles with each ejection in a row; afterwards the target is on probation with one request at a time until
 * it has answered a few. {@link HealthJudge} decides who is ejected. Not thread-safe.
 */
public final class TargetHealth {
    private static final double SMOOTHING = 0.1;
    /** One straggler must not make a target look slow. */
    private static final double MAX_SLOWDOWN = 8;

    private static final long FIRST_EJECTION_MS = 5000;
    private static final int MAX_DOUBLINGS = 4;
    private static final int PROBATION_ANSWERS = 5;

    private int failuresInRow;
    private double failureShare;
    /** Run time over the median of the kind of work, smoothed; 0 before the first answer. */
    private double slowdown;

    private long outcomes;

    private boolean ejected;
    private long ejectedUntilMs;
    private int ejections;
    /** Answers still owed before the target is trusted again; above 0 it gets one request at a time. */
    private int probationLeft;

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
        if (isEjected(nowMs)) {
            return 0;
        }
        return probationLeft > 0 ? Math.min(1, slots) : slots;
    }

    /**
     * Tells whether the target gets nothing at the moment.
     *
     * @param nowMs the current instant
     * @return whether it is ejected
     */
    public boolean isEjected(long nowMs) {
        return ejected && nowMs < ejectedUntilMs;
    }

    boolean isOnProbation() {
        return probationLeft > 0;
    }

    int failuresInRow() {
        return failuresInRow;
    }

    double failureShare() {
        return failureShare;
    }

    double slowdown() {
        return slowdown;
    }

    long outcomes() {
        return outcomes;
    }

    void answered(long tookUs, long expectedUs, long nowMs) {
        outcomes++;
        failuresInRow = 0;
        failureShare += SMOOTHING * (0 - failureShare);
        double latest = Math.min(MAX_SLOWDOWN, (double) tookUs / Math.max(1, expectedUs));
        slowdown = slowdown == 0 ? latest : slowdown + SMOOTHING * (latest - slowdown);
        if (probationLeft > 0 && !isEjected(nowMs)) {
            probationLeft--;
            if (probationLeft == 0) {
                ejected = false;
                ejections = 0;
            }
        }
    }

    void failed() {
        outcomes++;
        failuresInRow++;
        failureShare += SMOOTHING * (1 - failureShare);
    }

    /** Ejects for a term that doubles with each ejection in a row; probation follows. */
    void eject(long nowMs) {
        ejected = true;
        ejectedUntilMs = nowMs + (FIRST_EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        probationLeft = PROBATION_ANSWERS;
        failuresInRow = 0;
        failureShare = 0;
        slowdown = 0;
        outcomes = 0;
    }
}
