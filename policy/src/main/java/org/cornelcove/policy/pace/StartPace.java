package org.cornelcove.policy.pace;

/**
 * Rate limit for starts. There is no limit in normal operation; after a fault the rate begins low and doubles stepwise.
 *
 * <p>A new leader, a lost availability zone or a restart leaves a backlog that would otherwise start all at once: image
 * loads, checkpoint reads and reports of thousands of attempts would hit the same hosts simultaneously. Urgent work starts
 * immediately and may overdraw the permits, down to the negative of the bucket's capacity; other work must leave
 * {@code URGENT_KEEP} of one second's permits for it. Making urgent work wait for permits was rejected: on a small cluster,
 * with one permit per second, the third job of a backlog starts too late. A fixed rate was rejected: a rate that is low
 * enough for the first seconds takes too long for a large backlog. The rate depends on the number of hosts, because the
 * cost of a start falls on the hosts.
 *
 * <p>Example: with 45 hosts, 11 starts in the first second, 22 in the next, then 45 per second. A backlog of 200 is
 * started within 6 s. Not thread-safe.
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
     * Returns a limiter that allows every start until {@link #recover} is called.
     *
     * @return the limiter
     */
    public static StartPace create() {
        return new StartPace();
    }

    /**
     * Starts limiting the rate after a fault that left a backlog.
     *
     * @param hosts the number of hosts that the backlog starts on
     * @param nowMs the current instant
     */
    public void recover(int hosts, long nowMs) {
        perSecond = firstPerSecond(hosts);
        lastPerSecond = Math.max(1, LAST_PER_HOST * hosts);
        permits = TokenBucket.full(perSecond, lastPerSecond / 4 + 1);
        permits.discardAbove(0, nowMs);
        nextStepMs = nowMs + DOUBLE_AFTER_MS;
    }

    /**
     * Returns the start rate of the first second after a fault.
     *
     * @param hosts the number of hosts that the backlog starts on
     * @return starts per second, at least 1
     */
    public static double firstPerSecond(int hosts) {
        return Math.max(1, FIRST_PER_HOST * hosts);
    }

    /** Removes the limit because the backlog is empty. */
    public void backlogGone() {
        permits = null;
    }

    /**
     * Checks whether the start rate is limited now.
     *
     * @return true from a fault until its backlog is empty
     */
    public boolean isRecovering() {
        return permits != null;
    }

    /**
     * Requests a permit for one start.
     *
     * @param urgent whether the work is urgent
     * @param nowMs the current instant
     * @return true if it may start now; always true for urgent work
     */
    public boolean tryStart(boolean urgent, long nowMs) {
        if (permits == null) {
            return true;
        }
        while (nowMs >= nextStepMs) {
            perSecond = Math.min(lastPerSecond, perSecond * 2);
            permits.setRate(perSecond, nextStepMs);
            nextStepMs += DOUBLE_AFTER_MS;
        }
        if (urgent) {
            permits.overdraw(nowMs);
            return true;
        }
        return permits.tryTake(URGENT_KEEP * perSecond, nowMs);
    }
}
