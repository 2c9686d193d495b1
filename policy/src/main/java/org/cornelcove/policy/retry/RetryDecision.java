package org.cornelcove.policy.retry;

/**
 * Decides whether a failed send is retried at another target.
 *
 * <p>A request of any class is retried only if it provably did not run. For {@code SAFE} the guarantees would allow a
 * retry without proof, but under overload that doubles work that is still running.
 */
public final class RetryDecision {
    private static final int MAX_SENDS = 3;

    private RetryDecision() {}

    /**
     * Decides on one failed send; takes one retry from the budget if it is allowed.
     *
     * @param provedNotRun whether it is certain that no part of the request ran
     * @param sends the number of sends so far
     * @param remainingUs the time to its deadline in microseconds
     * @param expectedUs its expected run time in microseconds
     * @param budget the budget of its service, class and entry
     * @return true if it is to be sent again
     */
    public static boolean mayRetry(
            boolean provedNotRun, int sends, long remainingUs, long expectedUs, RetryBudget budget) {
        return provedNotRun && sends < MAX_SENDS && expectedUs <= remainingUs && budget.tryRetry();
    }
}
