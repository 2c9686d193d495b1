package org.cornelcove.daemon.api;

import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.wire.Addresses;

/** Validates the announcements of targets and the heartbeats of workers. */
final class AnnouncementCheck {
    private static final int MAX_SLOTS = 100_000;

    private AnnouncementCheck() {}

    static boolean isUsable(TargetAnnouncement message) {
        boolean identified =
                message.target() != null && message.service() != null && message.availabilityZone() != null;
        boolean reachable =
                message.address() != null && Addresses.read(message.address()).isPresent();
        boolean withinBounds = message.slots() > 0
                && message.slots() <= MAX_SLOTS
                && message.connections() > 0
                && message.busySlots() >= 0;
        return identified && reachable && withinBounds;
    }

    static boolean isUsable(WorkerHeartbeat message) {
        boolean identified = message.host() != null && message.availabilityZone() != null && message.rack() != null;
        boolean withinBounds = message.capacity() != null && !message.capacity().isNegative();
        return identified && withinBounds && message.attempts() != null;
    }
}
