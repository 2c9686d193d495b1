package org.cornelcove.policy.route;

import org.cornelcove.model.id.TargetId;

/** An owned target: its slots in use and its health. */
final class TargetState {
    private final TargetId id;
    private final TargetHealth health = TargetHealth.create();
    private String availabilityZone;
    private int slots;
    private int busy;
    /** Number of slots that requests of a previous owner may still hold. */
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

    void setHeldElsewhere(int slotsHeld) {
        heldElsewhere = slotsHeld;
    }

    /** Returns the slots that may be used now: none while ejected, at most one on probation. */
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
