package org.cornelcove.policy.retry;

/**
 * Whether a failed send is repeated at another target.
 *
 * <p>Only what is proved not to have run is repeated, whatever its class: an unproved repeat of {@code SAFE} would be
 * allowed by the guarantees, but under overload it doubles work that is still running.
 */
public final class RetryDecision {
    private static final int MAX_SENDS = 3;

    private RetryDecision() {}

    /**
     * Decides on one failed send; takes from the budget when it allows the retry.
     *
     * @param provedNotRun whether it is certain that nothing of the request was run
     * @param sends how often it was sent so far
     * @param remainingUs the time to its deadline
     * @param expectedUs the run time expected of it
     * @param budget the budget of its service, class and entry
     * @return whether to send it again
     */
    public static boolean mayRetry(
            boolean provedNotRun, int sends, long remainingUs, long expectedUs, RetryBudget budget) {
        return provedNotRun && sends < MAX_SENDS && expectedUs <= remainingUs && budget.tryRetry();
    }
}
