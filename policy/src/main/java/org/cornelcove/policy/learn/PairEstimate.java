package org.cornelcove.policy.learn;

/**
 * How much one kind of batch work slows a kind of service down.
 *
 * @param added the share added to the service's run time, 0 for none
 * @param confidence 0 for unknown, towards 1 with each measurement
 */
public record PairEstimate(double added, double confidence) {
    private static final double KNOWN_FROM = 0.5;

    /** Tells whether enough was measured to rely on it. */
    public boolean isKnown() {
        return confidence >= KNOWN_FROM;
    }
}
