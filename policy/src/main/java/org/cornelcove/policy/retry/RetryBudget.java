package org.cornelcove.policy.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of first sends, so that they cannot amplify an overload.
 *
 * <p>Each first send adds a fraction of a token, each retry takes a whole token, and the number of stored tokens is
 * bounded, so that a long quiet period does not permit a large burst. Only a limit of attempts per request was rejected:
 * it multiplies the load exactly when most sends fail.
 *
 * <p>Example: at 5 per cent a thousand first sends allow at most 50 retries, and {@code burst} more at once. Use one
 * budget per service, class and entry. Thread-safe without locks.
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
     * @param percent retries allowed per hundred first sends
     * @param burst the maximum number of stored retries
     * @return the budget
     */
    public static RetryBudget of(int percent, int burst) {
        return new RetryBudget(percent, burst);
    }

    /** Records a first send, which adds to the budget. */
    public void noteFirstSend() {
        storedMilli.updateAndGet(stored -> Math.min(maxMilli, stored + depositMilli));
    }

    /**
     * Takes one retry from the budget.
     *
     * @return true if the retry is allowed
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
