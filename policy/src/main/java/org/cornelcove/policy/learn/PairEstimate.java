package org.cornelcove.policy.learn;

/**
 * The estimated slowdown of a kind of service by a kind of batch work.
 *
 * @param added the relative increase of the service's run time, 0 for none
 * @param confidence 0 without measurements, approaching 1 with each one
 */
public record PairEstimate(double added, double confidence) {
    private static final double KNOWN_FROM = 0.5;

    /** Checks whether there are enough measurements to use the estimate. */
    public boolean isKnown() {
        return confidence >= KNOWN_FROM;
    }
}
