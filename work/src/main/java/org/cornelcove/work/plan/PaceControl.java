package org.cornelcove.work.plan;

/**
 * How fast fill work may run beside lasting tasks with a target. It is slowed before the target is reached, stands still
 * once it is passed, and comes back in small steps, since figures are rough and half a second old.
 *
 * <p>Load pattern: the load of a lasting task swings within seconds and fill work of changing images stands beside it.
 * Stopping fill work outright lost its unsaved progress, and its restart hit the next worker.
 */
public final class PaceControl {
    /** Full speed. */
    public static final int FULL_PERCENT = 100;
    /** Share of the target from which fill work is slowed. */
    private static final double SLOW_SHARE = 0.7;
    /** Share of the target under which fill work may come back. */
    private static final double EASE_SHARE = 0.5;
    /** Each step back up. */
    private static final int STEP_PERCENT = 25;

    private PaceControl() {}

    /** Returns the next pace, given the worst tail on the worker as a share of its target. */
    public static int next(int percent, double worstShare) {
        if (worstShare >= 1) {
            return 0;
        } else if (worstShare >= SLOW_SHARE) {
            return percent / 2;
        } else if (worstShare < EASE_SHARE) {
            return Math.min(FULL_PERCENT, percent + STEP_PERCENT);
        }
        return percent;
    }
}
