package org.cornelcove.control.leader;

/**
 * Throttles batch work beside services once the host is nearly fully used, and lets it go when there is room again. The
 * two bounds lie apart, so that the relief given by throttling doesn't end it at once.
 */
public final class UsageThrottle implements ThrottlePolicy {
    /** The policy. */
    public static final UsageThrottle INSTANCE = new UsageThrottle();

    private static final int BEGIN_PERCENT = 95;
    private static final int END_PERCENT = 75;
    private static final int PERCENT = 100;

    private UsageThrottle() {}

    @Override
    public boolean throttles(HostRoom room, long usedCpuMillicores, boolean throttled) {
        boolean besideServices = !room.held().batch().equals(room.held().total());
        int bound = throttled ? END_PERCENT : BEGIN_PERCENT;
        return besideServices && usedCpuMillicores * PERCENT >= room.capacity().cpuMillicores() * bound;
    }
}
