package org.cornelcove.policy.admission;

/**
 * Predicts how long a request waits for a slot.
 *
 * <p>Two bounds hold at once. If everything queued went first, the wait would be all queued work divided by the slots.
 * The tenant's weighted share guarantees that only its own queued work goes first, at its share of the slots. The
 * smaller one is the prediction. The alternative, the length of the queue against a fixed limit, lost: the same limit
 * is too long for slow work and too short for fast work.
 *
 * <p>Example: 8 slots, two tenants of equal weight, 800 ms of work queued by the other tenant and 100 ms by this one.
 * The first bound gives 900 / 8 = 112 ms, the second 100 / (8 / 2) = 25 ms; the prediction is 25 ms.
 */
public final class WaitPredictor {
    private WaitPredictor() {}

    /**
     * Predicts the wait in the queue.
     *
     * @param queuedUs expected run time of everything queued
     * @param ownAheadUs expected run time of the tenant's own requests that go first
     * @param share the tenant's share of the slots among the tenants that wait, above 0 up to 1
     * @param slots the slots that serve the queue
     * @return the wait, 0 when nothing is queued
     */
    public static long waitUs(long queuedUs, long ownAheadUs, double share, int slots) {
        if (slots <= 0) {
            return Long.MAX_VALUE / 4;
        }
        double inTurn = (double) queuedUs / slots;
        double byShare = ownAheadUs / (slots * share);
        return Math.round(Math.min(inTurn, byShare));
    }
}
