package org.cornelcove.control.leader;

/**
 * The decisions that the leader leaves to others.
 *
 * @param throttle decides where batch work runs at a reduced rate
 */
public record Policies(ThrottlePolicy throttle) {
    /**
     * Returns the standard ones.
     *
     * @return the policies
     */
    public static Policies standard() {
        return new Policies(UsageThrottle.INSTANCE);
    }
}
