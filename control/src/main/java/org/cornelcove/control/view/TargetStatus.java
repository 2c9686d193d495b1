package org.cornelcove.control.view;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * One target as the leader sees it.
 *
 * @param target its name
 * @param service its service, empty while not heard
 * @param availabilityZone where it runs, empty while not heard
 * @param leaving whether it asked for no new work
 * @param owner the entry that dispatches to it
 * @param epoch the ownership epoch
 * @param silentMs the time since it was last heard of, -1 while not heard
 */
public record TargetStatus(
        TargetId target,
        String service,
        String availabilityZone,
        boolean leaving,
        Optional<EntryId> owner,
        long epoch,
        long silentMs) {
    /** Takes the status of an older daemon, which tells no availability zone, as one of a target not heard. */
    public TargetStatus {
        availabilityZone = availabilityZone == null ? "" : availabilityZone;
    }
}
