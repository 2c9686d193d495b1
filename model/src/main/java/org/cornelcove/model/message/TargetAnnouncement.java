package org.cornelcove.model.message;

import org.cornelcove.model.id.TargetId;

/**
 * What a target tells about itself every second, to any entry.
 *
 * @param target its name
 * @param service the service it belongs to
 * @param address its HTTP address, {@code ip:port}
 * @param availabilityZone where it runs
 * @param slots requests that it runs at once
 * @param connections connections that it accepts
 * @param busySlots slots taken when it wrote this
 * @param leaving it asks for no new work
 */
public record TargetAnnouncement(
        TargetId target,
        String service,
        String address,
        String availabilityZone,
        int slots,
        int connections,
        int busySlots,
        boolean leaving) {
    /** Returns this announcement with another number of busy slots. */
    public TargetAnnouncement withBusySlots(int busy) {
        return new TargetAnnouncement(target, service, address, availabilityZone, slots, connections, busy, leaving);
    }
}
