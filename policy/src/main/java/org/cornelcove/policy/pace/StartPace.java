package org.cornelcove.policy.pace;

/**
 * The pace of starts. Unbounded in ordinary times; after a fault it begins low and doubles step by step.
 *
 * <p>A new leader, a lost availability zone or a restart leave a backlog that would otherwise start in one instant: image
 * loads, checkpoint reads and reports of thousands of attempts hit the same hosts at once. Urgent work may take every
 * permit; other work leaves {@code URGENT_KEEP} of a second's permits for it. A fixed pace lost: one that is gentle enough
 * for the first seconds takes too long over a large backlog.
 *
 * <p>Example: 50 starts in the first second, doubled every 2 s up to 500 a second. A backlog of 2,000 is started within
 * 9 s. Not thread-safe.
 */
public final class StartPace {
    private static final double URGENT_KEEP = 0.2;
    private static final long DOUBLE_AFTER_MS = 2000;

    private final double firstPerSecond;
    private final double lastPerSecond;
    private TokenBucket permits;
    private double perSecond;
    private long nextStepMs;

    private StartPace(double firstPerSecond, double lastPerSecond) {
        this.firstPerSecond = firstPerSecond;
        this.lastPerSecond = lastPerSecond;
    }

    /**
     * Returns a pace that is unbounded until {@link #recover} is called.
     *
     * @param firstPerSecond starts a second right after a fault
     * @param lastPerSecond the bound at which recovery is considered over once the backlog is gone
     * @return the pace
     */
    public static StartPace of(double firstPerSecond, double lastPerSecond) {
        return new StartPace(firstPerSecond, lastPerSecond);
    }

    /**
     * Notes a fault that leaves a backlog.
     *
     * @param nowMs the current instant
     */
    public void recover(long nowMs) {
        perSecond = firstPerSecond;
        permits = TokenBucket.full(perSecond, lastPerSecond / 4);
        permits.tryTake(0, nowMs);
        permits.empty();
        nextStepMs = nowMs + DOUBLE_AFTER_MS;
    }

    /** Notes that nothing waits any more: the pace is unbounded again. */
    public void backlogGone() {
        permits = null;
    }

    /**
     * Tells whether starts are bounded now.
     *
     * @return whether they are
     */
    public boolean isRecovering() {
        return permits != null;
    }

    /**
     * Asks for one start.
     *
     * @param urgent whether the work is urgent
     * @param nowMs the current instant
     * @return whether it may start now
     */
    public boolean tryStart(boolean urgent, long nowMs) {
        if (permits == null) {
            return true;
        }
        while (nowMs >= nextStepMs) {
            perSecond = Math.min(lastPerSecond, perSecond * 2);
            permits.setPace(perSecond, nextStepMs);
            nextStepMs += DOUBLE_AFTER_MS;
        }
        return permits.tryTake(urgent ? 0 : URGENT_KEEP * perSecond / 4, nowMs);
    }
}
