package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.model.id.EntryId;

/**
 * Distributes targets or ranges over entries.
 *
 * <p>An item without an owner is assigned to the entry with the fewest items of its group; an entry in another
 * availability zone counts as having one more. Then items are moved one by one while the entry with the most items has
 * at least two more than the entry with the fewest, three across zones. All other items keep their owner, because after
 * a move the new owner has to wait until the old one can no longer act.
 *
 * <p>Example: 45 targets in three zones over 9 entries, 3 in each zone: 5 for each entry, all in its zone. One entry
 * fails: its 5 go to the other two of its zone and, once these have two more than the others, to other zones.
 */
final class Balancer {
    static final Balancer INSTANCE = new Balancer();

    private static final int OTHER_ZONE_PENALTY = 1;
    private static final int MIN_DIFFERENCE = 2;

    private Balancer() {}

    /** Returns the new owner of each item to move, at most {@code maxMoves} items. */
    <K> Map<K, EntryId> plan(List<Assignable<K>> all, List<LiveEntry> entries, int maxMoves) {
        Map<K, EntryId> moves = new LinkedHashMap<>();
        if (entries.isEmpty()) {
            return moves;
        }
        Map<EntryId, Integer> totals = new HashMap<>();
        TreeMap<String, List<Assignable<K>>> groups = new TreeMap<>();
        for (Assignable<K> one : all) {
            groups.computeIfAbsent(one.group(), any -> new ArrayList<>()).add(one);
            one.owner().ifPresent(owner -> totals.merge(owner, 1, Integer::sum));
        }
        for (List<Assignable<K>> group : groups.values()) {
            planGroup(group, entries, totals, moves, maxMoves);
        }
        return moves;
    }

    private <K> void planGroup(
            List<Assignable<K>> group,
            List<LiveEntry> entries,
            Map<EntryId, Integer> totals,
            Map<K, EntryId> moves,
            int maxMoves) {
        Map<EntryId, List<Assignable<K>>> owned = new HashMap<>();
        entries.forEach(entry -> owned.put(entry.entry(), new ArrayList<>()));
        List<Assignable<K>> free = new ArrayList<>();
        for (Assignable<K> one : group) {
            one.owner().map(owned::get).ifPresentOrElse(mine -> mine.add(one), () -> free.add(one));
        }
        for (Assignable<K> one : free) {
            if (moves.size() >= maxMoves) {
                return;
            }
            EntryId owner = emptiest(one, entries, owned, totals);
            owned.get(owner).add(one);
            totals.merge(owner, 1, Integer::sum);
            moves.put(one.key(), owner);
        }
        while (moves.size() < maxMoves && moveOne(entries, owned, totals, moves)) {
            continue;
        }
    }

    private static <K> EntryId emptiest(
            Assignable<K> one,
            List<LiveEntry> entries,
            Map<EntryId, List<Assignable<K>>> owned,
            Map<EntryId, Integer> totals) {
        return entries.stream()
                .min(Comparator.comparingInt(
                                (LiveEntry entry) -> owned.get(entry.entry()).size() + penalty(one, entry))
                        .thenComparingInt(entry -> totals.getOrDefault(entry.entry(), 0))
                        .thenComparing(LiveEntry::entry))
                .map(LiveEntry::entry)
                .orElseThrow();
    }

    private static <K> boolean moveOne(
            List<LiveEntry> entries,
            Map<EntryId, List<Assignable<K>>> owned,
            Map<EntryId, Integer> totals,
            Map<K, EntryId> moves) {
        Comparator<LiveEntry> bySize =
                Comparator.comparingInt(entry -> owned.get(entry.entry()).size());
        LiveEntry fullest =
                entries.stream().max(bySize.thenComparing(LiveEntry::entry)).orElseThrow();
        LiveEntry lowest =
                entries.stream().min(bySize.thenComparing(LiveEntry::entry)).orElseThrow();
        List<Assignable<K>> from = owned.get(fullest.entry());
        List<Assignable<K>> to = owned.get(lowest.entry());
        int difference = from.size() - to.size();
        Optional<Assignable<K>> moved = from.stream()
                .filter(one -> difference >= MIN_DIFFERENCE + penalty(one, lowest))
                .filter(one -> !moves.containsKey(one.key()))
                .min(Comparator.comparingInt(one -> penalty(one, lowest) - penalty(one, fullest)));
        moved.ifPresent(one -> {
            from.remove(one);
            to.add(one);
            totals.merge(fullest.entry(), -1, Integer::sum);
            totals.merge(lowest.entry(), 1, Integer::sum);
            moves.put(one.key(), lowest.entry());
        });
        return moved.isPresent();
    }

    private static <K> int penalty(Assignable<K> one, LiveEntry entry) {
        boolean near =
                one.availabilityZone().isEmpty() || one.availabilityZone().equals(entry.availabilityZone());
        return near ? 0 : OTHER_ZONE_PENALTY;
    }
}
