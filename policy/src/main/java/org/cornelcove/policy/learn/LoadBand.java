package org.cornelcove.policy.learn;

/** How busy the services of a host are; how much a pair disturbs each other depends on it. */
public enum LoadBand {
    /** Below half of the host's processors. */
    LOW,
    /** In between. */
    MIDDLE,
    /** From three quarters on: the crest. */
    HIGH;

    private static final double MIDDLE_FROM = 0.5;
    private static final double HIGH_FROM = 0.75;

    /**
     * Returns the band of a load.
     *
     * @param share the used share of the processors
     * @return the band
     */
    public static LoadBand of(double share) {
        if (share >= HIGH_FROM) {
            return HIGH;
        }
        return share >= MIDDLE_FROM ? MIDDLE : LOW;
    }
}
