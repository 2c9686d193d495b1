package org.cornelcove.model.message;

import org.cornelcove.model.id.TargetId;

/**
 * The announcement that a target sends to any entry every second.
 *
 * @param target its name
 * @param service the service it belongs to
 * @param address its HTTP address, {@code ip:port}
 * @param availabilityZone the availability zone it runs in
 * @param slots the number of requests that it runs concurrently
 * @param connections the number of connections that it accepts
 * @param busySlots the number of slots in use when it was sent
 * @param leaving whether it asks for no new work
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
