package org.cornelcove.policy.queue;

import java.util.concurrent.atomic.DoubleAdder;

/**
 * How many slots the short work of the recent past needs.
 *
 * <p>The mean need is the admitted run time per unit of time, averaged with a decay of {@code DECAY_US}. Arrivals come
 * in bursts, so the slots to keep are the mean plus twice its square root, the usual rule for staffing a queue.
 *
 * <p>Example: 240 requests a second of 60 ms need 14.4 slots on average; 22 are kept.
 *
 * <p>Several threads may {@link #noteShared} at once. What they note is weighted by its age, so that the next reading,
 * made by one thread alone, comes to the same sum as if each had been taken in at its own instant.
 */
final class ShortDemand {
    private static final double DECAY_US = 20_000_000;
    /** The time over which the very first arrivals are averaged. */
    private static final double FIRST_US = 500_000;

    private static final double BURST_FACTOR = 2;

    /** Run time not yet decayed, over the decay time. */
    private double noted;
    /** What was noted after {@code updatedUs}, grown by as much as the decay takes from it by reckoning it from there. */
    private final DoubleAdder fresh = new DoubleAdder();
    /** The share of the decay time that was observed, below 1 soon after the start; keeps the first mean unbiased. */
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
        noted += runUs / DECAY_US;
    }

    /** Tells whether several threads may note at this instant; otherwise one alone has to. */
    boolean isShareable(long nowUs) {
        return started && nowUs - updatedUs <= DECAY_US;
    }

    /** Like {@link #note}, by several threads at once; only after {@link #isShareable}. */
    void noteShared(long runUs, long nowUs) {
        long sinceUs = Math.max(0, nowUs - updatedUs);
        fresh.add(runUs / DECAY_US * Math.exp(sinceUs / DECAY_US));
    }

    int slotsToKeep(long nowUs) {
        if (!started) {
            return 0;
        }
        decay(nowUs);
        double meanSlots = noted / observed;
        return (int) Math.ceil(meanSlots + BURST_FACTOR * Math.sqrt(meanSlots));
    }

    private void decay(long nowUs) {
        noted += fresh.sumThenReset();
        if (nowUs > updatedUs) {
            double kept = Math.exp((updatedUs - nowUs) / DECAY_US);
            noted *= kept;
            observed = 1 - (1 - observed) * kept;
            updatedUs = nowUs;
        }
    }
}
