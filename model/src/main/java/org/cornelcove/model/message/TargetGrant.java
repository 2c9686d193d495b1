package org.cornelcove.model.message;

/**
 * The ownership of a target: only its owner dispatches requests to it.
 *
 * @param target the target as last announced
 * @param epoch rises with each change of owner; sent along with each dispatch
 * @param silentMs the time since the target was last heard of
 * @param previousOverMs the time since the previous owner could last start a request, 0 once nothing of it matters
 * @param previousHoldMs until this has passed the previous owner's requests may still hold slots
 */
public record TargetGrant(
        TargetAnnouncement target, long epoch, long silentMs, long previousOverMs, long previousHoldMs) {
    /** Returns this grant with a later announcement that differs in its age and load only. */
    public TargetGrant withLoad(long newSilentMs, int busySlots) {
        return new TargetGrant(target.withBusySlots(busySlots), epoch, newSilentMs, previousOverMs, previousHoldMs);
    }
}
