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
 * <p>The least loaded target with a free slot wins; targets of the entry's own availability zone count as
 * {@code ZONE_PREFERENCE} less loaded, so that requests leave the zone only when it pays for the way. Slots are counted
 * exactly here, because one owner alone sends to a target.
 *
 * <p>A target is ejected when it fails several times in a row, fails a large share of its requests, or is several times
 * slower than the median of the others, each run measured against the median of its own kind of work. The term doubles with each ejection; afterwards the target is on probation with
 * one request at a time until it has answered a few. At most half of the targets are ejected at once: beyond that the
 * cause is likely common to all, and ejecting more would only move the overload on.
 *
 * <p>Round robin lost against this in the benchmark {@code retries}: it keeps sending to a failing target. Not
 * thread-safe: guarded together with the request queue.
 */
public final class TargetChooser {
    private static final double ZONE_PREFERENCE = 0.25;
    private static final int FAILURES_IN_ROW = 3;
    private static final double FAILURE_SHARE = 0.4;
    private static final double SLOW_FACTOR = 3;
    private static final int MIN_OUTCOMES = 10;

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
        TargetState best = null;
        double bestLoad = Double.MAX_VALUE;
        List<TargetState> all = new ArrayList<>(targets.values());
        turn++;
        for (int i = 0; i < all.size(); i++) {
            TargetState target = all.get((i + turn) % all.size());
            double load = preferenceLoad(target);
            if (load < bestLoad && target.hasFreeSlot(nowMs) && !avoid.contains(target.id())) {
                best = target;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(TargetState::id);
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
        boolean probation = target.isOnProbation();
        switch (outcome) {
            case ANSWERED -> target.answered(tookUs, expectedUs, nowMs);
            case FAILED -> target.failed();
            case ABANDONED -> target.abandon();
            default -> throw new IllegalArgumentException(outcome.name());
        }
        boolean failedProbation = probation && outcome == SendOutcome.FAILED;
        if ((failedProbation || isUnfit(target)) && mayEject(target, nowMs)) {
            target.eject(nowMs);
        }
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
                .filter(t -> t.isEjected(nowMs))
                .map(TargetState::id)
                .toList();
    }

    private double preferenceLoad(TargetState target) {
        return target.load() + (target.availabilityZone().equals(ownZone) ? 0 : ZONE_PREFERENCE);
    }

    private boolean isUnfit(TargetState target) {
        if (target.failuresInRow() >= FAILURES_IN_ROW) {
            return true;
        }
        if (target.outcomes() < MIN_OUTCOMES) {
            return false;
        }
        return target.failureShare() > FAILURE_SHARE || target.slowdown() > SLOW_FACTOR * medianSlowdown();
    }

    private double medianSlowdown() {
        double[] slowdowns = targets.values().stream()
                .filter(t -> t.outcomes() >= MIN_OUTCOMES)
                .mapToDouble(TargetState::slowdown)
                .sorted()
                .toArray();
        return slowdowns.length < 3 ? Double.MAX_VALUE / SLOW_FACTOR : slowdowns[slowdowns.length / 2];
    }

    private boolean mayEject(TargetState target, long nowMs) {
        if (target.isEjected(nowMs)) {
            return false;
        }
        long out = targets.values().stream()
                .filter(t -> t != target && t.isEjected(nowMs))
                .count();
        return (out + 1) * 2 <= targets.size();
    }
}
