package org.cornelcove.policy.admission;

/**
 * Predicts the time that a request waits for a slot.
 *
 * <p>The prediction is the smaller of two upper bounds. First: if all queued work went first, the wait would be that work
 * divided by the slots. Second: the tenant's weighted share guarantees that only its own queued work goes first, at its
 * share of the slots. A fixed limit on the queue length was rejected: the same limit is too long for slow work and too
 * short for fast work.
 *
 * <p>Example: 8 slots, two tenants of equal weight, 800 ms of work queued by the other tenant and 100 ms by this one.
 * The first bound gives 900 / 8 = 112 ms, the second 100 / (8 / 2) = 25 ms; the prediction is 25 ms.
 */
public final class WaitPredictor {
    private WaitPredictor() {}

    /**
     * Predicts the wait in the queue.
     *
     * @param queuedUs expected run time of all queued requests, in microseconds
     * @param ownAheadUs expected run time of the tenant's own requests that go first, in microseconds
     * @param share the tenant's share of the slots among the tenants that wait, above 0 up to 1
     * @param slots the slots that serve the queue
     * @return the wait in microseconds; 0 if nothing is queued, a very large value without slots
     */
    public static long waitUs(long queuedUs, long ownAheadUs, double share, int slots) {
        if (slots <= 0) {
            return Long.MAX_VALUE / 4;
        }
        double allQueuedUs = (double) queuedUs / slots;
        double ownShareUs = ownAheadUs / (slots * share);
        return Math.round(Math.min(allQueuedUs, ownShareUs));
    }
}
