package org.cornelcove.policy.route;

import org.cornelcove.model.id.TargetId;

/** One target as its owner sees it: slots taken, and health. */
final class TargetState {
    private final TargetId id;
    private final TargetHealth health = TargetHealth.create();
    private String availabilityZone;
    private int slots;
    private int busy;
    /** Slots that a previous owner's requests may still hold. */
    private int heldElsewhere;

    TargetState(TargetId id, String availabilityZone, int slots) {
        this.id = id;
        update(availabilityZone, slots);
    }

    void update(String newZone, int newSlots) {
        availabilityZone = newZone;
        slots = newSlots;
    }

    TargetId id() {
        return id;
    }

    TargetHealth health() {
        return health;
    }

    String availabilityZone() {
        return availabilityZone;
    }

    void hold(int slotsHeld) {
        heldElsewhere = slotsHeld;
    }

    /** Slots that may be used now: none while ejected, one on probation. */
    int usableSlots(long nowMs) {
        return health.usableSlots(Math.max(0, slots - heldElsewhere), nowMs);
    }

    boolean hasFreeSlot(long nowMs) {
        return busy < usableSlots(nowMs);
    }

    double load() {
        return slots == 0 ? 1 : (double) (busy + heldElsewhere) / slots;
    }

    void start() {
        busy++;
    }

    void end() {
        busy = Math.max(0, busy - 1);
    }
}
