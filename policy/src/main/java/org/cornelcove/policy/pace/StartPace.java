package org.cornelcove.policy.pace;

/**
 * The pace of starts. Unbounded in ordinary times; after a fault it begins low and doubles step by step.
 *
 * <p>A new leader, a lost availability zone or a restart leave a backlog that would otherwise start in one instant: image
 * loads, checkpoint reads and reports of thousands of attempts hit the same hosts at once. Urgent work starts at once and
 * its permits are owed, up to those that are stored at most; other work leaves {@code URGENT_KEEP} of a second's permits
 * for it. Urgent work that waited for permits lost: on a small cluster, with a permit a second, the third job of a backlog
 * comes too late. A fixed pace lost: one that is gentle enough
 * for the first seconds takes too long over a large backlog. The pace is set by the number of hosts, because it is there
 * that starts cost.
 *
 * <p>Example: with 45 hosts 11 starts in the first second, 22 in the next, then 45 a second. A backlog of 200 is started
 * within 6 s. Not thread-safe.
 */
public final class StartPace {
    private static final double URGENT_KEEP = 0.05;
    private static final double FIRST_PER_HOST = 0.25;
    private static final double LAST_PER_HOST = 1;
    private static final long DOUBLE_AFTER_MS = 1000;

    private double lastPerSecond;
    private TokenBucket permits;
    private double perSecond;
    private long nextStepMs;

    private StartPace() {}

    /**
     * Returns a pace that is unbounded until {@link #recover} is called.
     *
     * @return the pace
     */
    public static StartPace create() {
        return new StartPace();
    }

    /**
     * Notes a fault that leaves a backlog.
     *
     * @param hosts the hosts that the backlog starts on
     * @param nowMs the current instant
     */
    public void recover(int hosts, long nowMs) {
        perSecond = firstPerSecond(hosts);
        lastPerSecond = Math.max(1, LAST_PER_HOST * hosts);
        permits = TokenBucket.full(perSecond, lastPerSecond / 4 + 1);
        permits.leave(0, nowMs);
        nextStepMs = nowMs + DOUBLE_AFTER_MS;
    }

    /**
     * Returns the starts of the first second after a fault.
     *
     * @param hosts the hosts that the backlog starts on
     * @return the starts
     */
    public static double firstPerSecond(int hosts) {
        return Math.max(1, FIRST_PER_HOST * hosts);
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
        if (urgent) {
            permits.owe(nowMs);
            return true;
        }
        return permits.tryTake(URGENT_KEEP * perSecond, nowMs);
    }
}
