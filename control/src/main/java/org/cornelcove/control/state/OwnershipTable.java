package org.cornelcove.control.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcove.model.command.AssignRange;
import org.cornelcove.model.command.AssignTarget;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * The owner of each target and of each range of exclusive keys.
 *
 * <p>The epoch of a target or range never decreases. When there are too many targets, those without an owner are
 * removed, longest unchanged first. The highest epoch among the removed targets is the floor from which new targets
 * start, so that the epoch of a removed target that is added again does not decrease.
 */
public final class OwnershipTable {
    /** The number of ranges into which exclusive keys are divided. */
    public static final int RANGES = 64;

    /** The number of targets above which targets without an owner are removed. */
    static final int OWNERLESS_REMOVAL_THRESHOLD = 10_000;

    private final EntryRegister entries;
    private final TreeMap<TargetId, TargetOwnership> targets = new TreeMap<>();
    private final List<Ownership> ranges = new ArrayList<>(Collections.nCopies(RANGES, Ownership.none(0)));
    private final Map<EntryId, TreeSet<TargetId>> targetsByOwner = new HashMap<>();
    private long epochFloor;

    OwnershipTable(EntryRegister entries) {
        this.entries = entries;
    }

    Outcome assign(long logIndex, AssignTarget command) {
        Optional<Refused> refused = refuseUnknownOwner(command.owner());
        if (refused.isPresent()) {
            return refused.get();
        }
        TargetOwnership existing = targets.get(command.target());
        Ownership old = existing == null ? Ownership.none(epochFloor) : existing.ownership();
        put(new TargetOwnership(command.target(), old.assign(command.owner()), logIndex));
        return new Done(logIndex);
    }

    Outcome assign(long logIndex, AssignRange command) {
        if (command.range() < 0 || command.range() >= RANGES) {
            return new Refused(Failure.of(ErrorKind.RANGE_UNKNOWN, command.range(), RANGES - 1));
        }
        Optional<Refused> refused = refuseUnknownOwner(command.owner());
        if (refused.isPresent()) {
            return refused.get();
        }
        ranges.set(command.range(), ranges.get(command.range()).assign(command.owner()));
        return new Done(logIndex);
    }

    /** Withdraws all targets and ranges that an earlier incarnation of the entry owned. */
    void withdrawAll(long logIndex, EntryId entry) {
        Optional<EntryId> owner = Optional.of(entry);
        for (TargetId id : List.copyOf(targetsOf(entry))) {
            put(new TargetOwnership(id, targets.get(id).ownership().withdraw(), logIndex));
        }
        for (int range = 0; range < RANGES; range++) {
            if (ranges.get(range).owner().equals(owner)) {
                ranges.set(range, ranges.get(range).withdraw());
            }
        }
    }

    private Optional<Refused> refuseUnknownOwner(Optional<EntryId> owner) {
        return owner.filter(entry -> entries.incarnation(entry).isEmpty())
                .map(entry -> new Refused(Failure.of(ErrorKind.ENTRY_UNKNOWN, entry)));
    }

    private void put(TargetOwnership target) {
        TargetOwnership old = targets.put(target.target(), target);
        if (old != null) {
            old.ownership().owner().ifPresent(owner -> targetsByOwner.get(owner).remove(old.target()));
        }
        indexByOwner(target);
        removeOldestOwnerless();
    }

    private void indexByOwner(TargetOwnership target) {
        target.ownership().owner().ifPresent(owner -> targetsByOwner
                .computeIfAbsent(owner, any -> new TreeSet<>())
                .add(target.target()));
    }

    private void removeOldestOwnerless() {
        if (targets.size() <= OWNERLESS_REMOVAL_THRESHOLD) {
            return;
        }
        targets.values().stream()
                .filter(target -> target.ownership().owner().isEmpty())
                .min((a, b) -> Long.compare(a.changedIndex(), b.changedIndex()))
                .ifPresent(oldest -> {
                    targets.remove(oldest.target());
                    epochFloor = Math.max(epochFloor, oldest.ownership().epoch());
                });
    }

    void restore(Collection<TargetOwnership> targetRecords, List<Ownership> rangeRecords, long floor) {
        targets.clear();
        targetsByOwner.clear();
        for (TargetOwnership target : targetRecords) {
            targets.put(target.target(), target);
            indexByOwner(target);
        }
        for (int range = 0; range < RANGES; range++) {
            ranges.set(range, range < rangeRecords.size() ? rangeRecords.get(range) : Ownership.none(0));
        }
        epochFloor = floor;
    }

    /**
     * Returns all targets that have or had an owner.
     *
     * @return an unmodifiable view, by name
     */
    public Map<TargetId, TargetOwnership> targets() {
        return Collections.unmodifiableMap(targets);
    }

    /**
     * Returns the targets that an entry owns.
     *
     * @param entry the entry
     * @return an unmodifiable set, empty for an unknown entry
     */
    public Set<TargetId> targetsOf(EntryId entry) {
        return Collections.unmodifiableSet(targetsByOwner.getOrDefault(entry, new TreeSet<>()));
    }

    /**
     * Returns the ranges, by number.
     *
     * @return an unmodifiable view of {@link #RANGES} elements
     */
    public List<Ownership> ranges() {
        return Collections.unmodifiableList(ranges);
    }

    /**
     * Returns the epoch from which an unknown target starts.
     *
     * @return the highest epoch among removed targets, 0 if none was removed
     */
    public long epochFloor() {
        return epochFloor;
    }
}
