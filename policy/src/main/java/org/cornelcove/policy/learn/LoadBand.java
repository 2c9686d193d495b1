package org.cornelcove.policy.learn;

/** Load of a host's services; the interference of a pair depends on it. */
public enum LoadBand {
    /** Services use less than half of the host's CPU. */
    LOW,
    /** Services use at least half but less than three quarters. */
    MIDDLE,
    /** Services use three quarters or more: peak load. */
    HIGH;

    private static final double MIDDLE_FROM = 0.5;
    private static final double HIGH_FROM = 0.75;

    /**
     * Returns the band of a load.
     *
     * @param share the share of the host's CPU in use
     * @return the band
     */
    public static LoadBand of(double share) {
        if (share >= HIGH_FROM) {
            return HIGH;
        }
        return share >= MIDDLE_FROM ? MIDDLE : LOW;
    }
}
