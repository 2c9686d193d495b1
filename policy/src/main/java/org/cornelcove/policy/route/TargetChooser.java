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
 * <p>Slots are counted exactly here, because one owner alone sends to a target.
 *
 * <p>{@link HealthJudge} ejects targets that fail or are slow; {@link LeastLoaded} chooses among the rest.
 *
 * <p>Round robin lost against this in the benchmark {@code retries}: it keeps sending to a failing target. Not
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
     * Adds a target, or takes in its new announcement.
     *
     * @param id the target
     * @param availabilityZone where it runs
     * @param slots how many requests it runs at once
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
     * Notes how many slots requests of a previous owner may still hold.
     *
     * @param id the target
     * @param slots how many, 0 once they are over
     */
    public void holdElsewhere(TargetId id, int slots) {
        TargetState known = targets.get(id);
        if (known != null) {
            known.hold(slots);
        }
    }

    /**
     * Forgets a target that left, fell silent, or went to another owner.
     *
     * @param id the target
     */
    public void remove(TargetId id) {
        targets.remove(id);
    }

    /**
     * Chooses the target of the next request. Nothing is taken yet; see {@link #started}.
     *
     * @param avoid targets that already failed the request
     * @param nowMs the current instant
     * @return the target; empty when none has a free slot
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
     * Frees the slot and learns from the outcome.
     *
     * @param id the target
     * @param outcome how the send ended
     * @param tookUs how long it took
     * @param expectedUs the median run time of its kind of work
     * @param nowMs the current instant
     */
    public void finished(TargetId id, SendOutcome outcome, long tookUs, long expectedUs, long nowMs) {
        TargetState target = targets.get(id);
        if (target == null) {
            return;
        }
        target.end();
        Sent sent = new Sent(outcome, tookUs, expectedUs);
        HealthJudge.note(target.health(), targets.values(), TargetState::health, sent, nowMs);
    }

    /**
     * Returns the slots that may be used now, those on probation counted as one a target.
     *
     * @param nowMs the current instant
     * @return how many
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
     * @return their names
     */
    public List<TargetId> ejected(long nowMs) {
        return targets.values().stream()
                .filter(t -> t.health().isEjected(nowMs))
                .map(TargetState::id)
                .toList();
    }
}
