package org.cornelcove.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a share of the requests, so that they can't amplify an overload. Each request earns a tenth of a
 * retry, up to a small reserve; each retry costs one.
 */
final class RetryBudget {
    private static final long COST = 10;
    private static final long EARNED = 1;
    private static final long RESERVE = 10 * COST;

    private final AtomicLong credit = new AtomicLong(RESERVE);

    void earn() {
        if (credit.get() < RESERVE) {
            credit.addAndGet(EARNED);
        }
    }

    /** Spends a retry if one is left. */
    boolean trySpend() {
        while (true) {
            long left = credit.get();
            if (left < COST) {
                return false;
            }
            if (credit.compareAndSet(left, left - COST)) {
                return true;
            }
        }
    }
}
