package org.cornelcove.policy.route;

import org.cornelcove.model.id.TargetId;

/** One target as its owner sees it: slots taken, health, and the term of an ejection. */
final class TargetState {
    private static final double SMOOTHING = 0.1;
    /** One straggler must not make a target look slow. */
    private static final double MAX_SLOWDOWN = 8;

    private static final long FIRST_EJECTION_MS = 5000;
    private static final int MAX_DOUBLINGS = 4;
    private static final int PROBATION_ANSWERS = 5;

    private final TargetId id;
    private String availabilityZone;
    private int slots;
    private int busy;
    /** Slots that a previous owner's requests may still hold. */
    private int heldElsewhere;

    private int failuresInRow;
    private double failureShare;
    /** Run time over the median of the kind of work, smoothed; 0 before the first answer. */
    private double slowdown;

    private long outcomes;

    private boolean ejected;
    private long ejectedUntilMs;
    private int ejections;
    /** Answers still owed before the target is trusted again; above 0 it gets one request at a time. */
    private int probationLeft;

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

    String availabilityZone() {
        return availabilityZone;
    }

    int slots() {
        return slots;
    }

    int busy() {
        return busy;
    }

    void hold(int slotsHeld) {
        heldElsewhere = slotsHeld;
    }

    /** Slots that may be used now: none while ejected, one on probation. */
    int usableSlots(long nowMs) {
        if (ejected && nowMs < ejectedUntilMs) {
            return 0;
        }
        int open = Math.max(0, slots - heldElsewhere);
        return probationLeft > 0 ? Math.min(1, open) : open;
    }

    boolean hasFreeSlot(long nowMs) {
        return busy < usableSlots(nowMs);
    }

    double load() {
        return slots == 0 ? 1 : (double) (busy + heldElsewhere) / slots;
    }

    boolean isEjected(long nowMs) {
        return ejected && nowMs < ejectedUntilMs;
    }

    boolean isOnProbation() {
        return probationLeft > 0;
    }

    int failuresInRow() {
        return failuresInRow;
    }

    double failureShare() {
        return failureShare;
    }

    double slowdown() {
        return slowdown;
    }

    long outcomes() {
        return outcomes;
    }

    void start() {
        busy++;
    }

    void abandon() {
        busy = Math.max(0, busy - 1);
    }

    void answered(long tookUs, long expectedUs, long nowMs) {
        abandon();
        outcomes++;
        failuresInRow = 0;
        failureShare += SMOOTHING * (0 - failureShare);
        double latest = Math.min(MAX_SLOWDOWN, (double) tookUs / Math.max(1, expectedUs));
        slowdown = slowdown == 0 ? latest : slowdown + SMOOTHING * (latest - slowdown);
        if (probationLeft > 0 && !isEjected(nowMs)) {
            probationLeft--;
            if (probationLeft == 0) {
                ejected = false;
                ejections = 0;
            }
        }
    }

    void failed() {
        abandon();
        outcomes++;
        failuresInRow++;
        failureShare += SMOOTHING * (1 - failureShare);
    }

    /** Ejects for a term that doubles with each ejection in a row; probation follows. */
    void eject(long nowMs) {
        ejected = true;
        ejectedUntilMs = nowMs + (FIRST_EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        probationLeft = PROBATION_ANSWERS;
        failuresInRow = 0;
        failureShare = 0;
        slowdown = 0;
        outcomes = 0;
    }
}
