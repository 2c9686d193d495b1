package org.cornelcove.policy.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a share of first sends, so that they can't amplify an overload.
 *
 * <p>Each first send adds a fraction of a token, each retry takes a whole one, and the store is bounded, so that a long
 * quiet time does not save up a burst. A limit of tries for each request alone lost: it multiplies the load just when
 * most sends fail.
 *
 * <p>Example: at 5 per cent a thousand first sends allow at most 50 retries, and {@code burst} more at once. Keep one
 * for each service, class and entry. Thread-safe without locks.
 */
public final class RetryBudget {
    private static final long MILLI = 1000;
    private static final int PERCENT = 100;

    private final long depositMilli;
    private final long maxMilli;
    private final AtomicLong storedMilli;

    private RetryBudget(int percent, int burst) {
        depositMilli = percent * MILLI / PERCENT;
        maxMilli = burst * MILLI;
        storedMilli = new AtomicLong(maxMilli);
    }

    /**
     * Returns a full budget.
     *
     * @param percent retries allowed for a hundred first sends
     * @param burst the most that is stored
     * @return the budget
     */
    public static RetryBudget of(int percent, int burst) {
        return new RetryBudget(percent, burst);
    }

    /** Notes a first send. */
    public void noteFirstSend() {
        storedMilli.updateAndGet(stored -> Math.min(maxMilli, stored + depositMilli));
    }

    /**
     * Takes the right to one retry.
     *
     * @return whether it was granted
     */
    public boolean tryRetry() {
        long stored = storedMilli.get();
        while (stored >= MILLI) {
            if (storedMilli.compareAndSet(stored, stored - MILLI)) {
                return true;
            }
            stored = storedMilli.get();
        }
        return false;
    }
}
