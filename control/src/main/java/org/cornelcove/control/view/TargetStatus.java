package org.cornelcove.control.view;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * One target as the leader sees it.
 *
 * @param target its name
 * @param service its service, empty without an announcement
 * @param availabilityZone where it runs, empty without an announcement
 * @param leaving whether it asked for no new work
 * @param owner the entry that dispatches to it, empty if there is none
 * @param epoch the ownership epoch
 * @param silentMs the age of its newest announcement, -1 without an announcement
 */
public record TargetStatus(
        TargetId target,
        String service,
        String availabilityZone,
        boolean leaving,
        Optional<EntryId> owner,
        long epoch,
        long silentMs) {
    /** Replaces the availability zone, which an older daemon does not send, with the empty string. */
    public TargetStatus {
        availabilityZone = availabilityZone == null ? "" : availabilityZone;
    }
}
