package org.cornelcove.control.leader;

/** Decides whether the batch work on a host runs at a reduced rate. A pure function: no clock, no state. */
@FunctionalInterface
public interface ThrottlePolicy {
    /**
     * Decides for one host.
     *
     * @param room the host
     * @param usedCpuMillicores the processor time that its attempts were last measured to use
     * @param throttled whether its batch work is throttled now
     * @return whether it is to be throttled
     */
    boolean throttles(HostRoom room, long usedCpuMillicores, boolean throttled);
}
