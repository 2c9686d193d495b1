package org.cornelcove.policy.route;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.model.id.TargetId;

/**
 * Chooses the target of a request among those that one entry owns for one service.
 *
 * <p>The slot counts are exact, because a target gets requests from its owner only.
 *
 * <p>{@link OutlierEjector} ejects targets that fail or are slow; {@link LeastLoaded} chooses among the rest.
 *
 * <p>Round robin was rejected after the benchmark {@code retries}: it keeps sending to a failing target. Not
 * thread-safe: guarded together with the request queue.
 */
public final class TargetChooser {
    private final String ownZone;
    private final Map<TargetId, TargetState> targets = new LinkedHashMap<>();
    private int turn;

    private TargetChooser(String ownZone) {
        this.ownZone = ownZone;
    }

    /**
     * Returns a chooser without targets.
     *
     * @param ownZone the availability zone of the entry
     * @return the chooser
     */
    public static TargetChooser inZone(String ownZone) {
        return new TargetChooser(ownZone);
    }

    /**
     * Adds a target, or updates it from a new announcement.
     *
     * @param id the target
     * @param availabilityZone the target's availability zone
     * @param slots the number of requests it runs concurrently
     */
    public void put(TargetId id, String availabilityZone, int slots) {
        TargetState known = targets.get(id);
        if (known == null) {
            targets.put(id, new TargetState(id, availabilityZone, slots));
        } else {
            known.update(availabilityZone, slots);
        }
    }

    /**
     * Sets the number of slots that requests of a previous owner may still hold.
     *
     * @param id the target
     * @param slots the number of slots, 0 once those requests have ended
     */
    public void setSlotsHeldElsewhere(TargetId id, int slots) {
        TargetState known = targets.get(id);
        if (known != null) {
            known.setHeldElsewhere(slots);
        }
    }

    /**
     * Removes a target that left, became unreachable or got another owner.
     *
     * @param id the target
     */
    public void remove(TargetId id) {
        targets.remove(id);
    }

    /**
     * Chooses the target of the next request without taking a slot; see {@link #started}.
     *
     * @param avoid targets on which the request already failed
     * @param nowMs the current instant
     * @return the target; empty if none has a free slot
     */
    public Optional<TargetId> choose(Set<TargetId> avoid, long nowMs) {
        List<TargetState> free = new ArrayList<>(targets.size());
        for (TargetState target : targets.values()) {
            if (target.hasFreeSlot(nowMs) && !avoid.contains(target.id())) {
                free.add(target);
            }
        }
        turn++;
        return LeastLoaded.choose(
                        free, TargetState::load, t -> t.availabilityZone().equals(ownZone), turn)
                .map(TargetState::id);
    }

    /**
     * Takes a slot of the target.
     *
     * @param id the target
     */
    public void started(TargetId id) {
        TargetState target = targets.get(id);
        if (target != null) {
            target.start();
        }
    }

    /**
     * Releases the slot and updates the target's health.
     *
     * @param id the target
     * @param outcome the outcome of the send
     * @param tookUs the duration in microseconds
     * @param expectedUs the median run time of its kind of work in microseconds
     * @param nowMs the current instant
     */
    public void finished(TargetId id, SendOutcome outcome, long tookUs, long expectedUs, long nowMs) {
        TargetState target = targets.get(id);
        if (target == null) {
            return;
        }
        target.end();
        SendResult sendResult = new SendResult(outcome, tookUs, expectedUs);
        OutlierEjector.recordOutcome(target.health(), targets.values(), TargetState::health, sendResult, nowMs);
    }

    /**
     * Returns the number of slots that may be used now; a target on probation counts as one slot.
     *
     * @param nowMs the current instant
     * @return the sum over all targets
     */
    public int usableSlots(long nowMs) {
        int sum = 0;
        for (TargetState target : targets.values()) {
            sum += target.usableSlots(nowMs);
        }
        return sum;
    }

    /**
     * Returns the targets that are ejected now.
     *
     * @param nowMs the current instant
     * @return their ids; empty if none is ejected
     */
    public List<TargetId> ejected(long nowMs) {
        return targets.values().stream()
                .filter(t -> t.health().isEjected(nowMs))
                .map(TargetState::id)
                .toList();
    }
}
