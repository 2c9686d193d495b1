package org.cornelcove.model.message;

/**
 * The ownership of a target: only its owner dispatches requests to it.
 *
 * @param target the target as last announced
 * @param epoch rises with each change of owner; sent with each dispatch
 * @param silentMs the time since the last announcement, in milliseconds
 * @param previousOverMs the time since the previous owner could last start a request, in milliseconds; 0 once its requests
 *     can no longer matter
 * @param previousHoldMs how long the previous owner's requests may still hold slots, in milliseconds
 */
public record TargetGrant(
        TargetAnnouncement target, long epoch, long silentMs, long previousOverMs, long previousHoldMs) {
    /** Returns this grant updated by a later announcement that differs only in its age and load. */
    public TargetGrant withLoad(long newSilentMs, int busySlots) {
        return new TargetGrant(target.withBusySlots(busySlots), epoch, newSilentMs, previousOverMs, previousHoldMs);
    }
}
