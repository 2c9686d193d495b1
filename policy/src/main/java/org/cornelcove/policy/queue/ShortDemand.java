package org.cornelcove.policy.queue;

import java.util.concurrent.atomic.DoubleAdder;

/**
 * Estimates how many slots short work needs, from recent arrivals.
 *
 * <p>The mean demand is the admitted run time per unit of time, averaged with exponential decay ({@code DECAY_US}).
 * Arrivals come in bursts, so the slots to reserve are the mean plus twice its square root: square-root staffing.
 *
 * <p>Example: 240 requests a second of 60 ms need 14.4 slots on average; 22 are reserved.
 *
 * <p>Several threads may call {@link #noteShared} concurrently. It scales each run time up to cancel the
 * decay between the last update and the call, which the next exclusive read applies to it too. The sum is then the same as
 * if each run time had been added at its own time.
 */
final class ShortDemand {
    private static final double DECAY_US = 20_000_000;
    /** Averaging time of the first arrivals. */
    private static final double FIRST_US = 500_000;

    private static final double BURST_FACTOR = 2;

    /** Decayed sum of run times divided by the decay time. */
    private double decayedSum;
    /** Run times recorded after {@code updatedUs}, scaled up to cancel the decay from {@code updatedUs} to their time. */
    private final DoubleAdder sharedSum = new DoubleAdder();
    /** Observed share of the decay window, below 1 soon after the start; corrects the bias of early means. */
    private double observed;

    private long updatedUs;
    private boolean started;

    void note(long runUs, long nowUs) {
        if (!started) {
            started = true;
            updatedUs = nowUs;
            observed = FIRST_US / DECAY_US;
        }
        decay(nowUs);
        decayedSum += runUs / DECAY_US;
    }

    /** Checks whether {@link #noteShared} may be called now; otherwise {@link #note} is needed under the exclusive lock. */
    boolean allowsSharedNotes(long nowUs) {
        return started && nowUs - updatedUs <= DECAY_US;
    }

    /** Like {@link #note}, for concurrent callers; only if {@link #allowsSharedNotes} returned true. */
    void noteShared(long runUs, long nowUs) {
        long sinceUs = Math.max(0, nowUs - updatedUs);
        sharedSum.add(runUs / DECAY_US * Math.exp(sinceUs / DECAY_US));
    }

    int slotsToReserve(long nowUs) {
        if (!started) {
            return 0;
        }
        decay(nowUs);
        double meanSlots = decayedSum / observed;
        return (int) Math.ceil(meanSlots + BURST_FACTOR * Math.sqrt(meanSlots));
    }

    private void decay(long nowUs) {
        decayedSum += sharedSum.sumThenReset();
        if (nowUs > updatedUs) {
            double factor = Math.exp((updatedUs - nowUs) / DECAY_US);
            decayedSum *= factor;
            observed = 1 - (1 - observed) * factor;
            updatedUs = nowUs;
        }
    }
}
