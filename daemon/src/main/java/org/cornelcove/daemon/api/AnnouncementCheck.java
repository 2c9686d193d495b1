package org.cornelcove.daemon.api;

import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.wire.Addresses;

/** Checks what targets and workers tell before anything is done with it. */
final class AnnouncementCheck {
    private static final int MAX_SLOTS = 100_000;

    private AnnouncementCheck() {}

    static boolean isUsable(TargetAnnouncement said) {
        boolean named = said.target() != null && said.service() != null && said.availabilityZone() != null;
        boolean reachable =
                said.address() != null && Addresses.read(said.address()).isPresent();
        boolean sized =
                said.slots() > 0 && said.slots() <= MAX_SLOTS && said.connections() > 0 && said.busySlots() >= 0;
        return named && reachable && sized;
    }

    static boolean isUsable(WorkerHeartbeat said) {
        boolean named = said.host() != null && said.availabilityZone() != null && said.rack() != null;
        boolean sized = said.capacity() != null && !said.capacity().isNegative();
        return named && sized && said.attempts() != null;
    }
}
