package org.cornelcove.policy.learn;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.id.HostId;

/**
 * Records which kinds of batch work each host ran at times in the recent past.
 *
 * <p>Usage reports arrive late. Without the history, a late report would attribute a slowdown to the task that has just
 * started instead of the ended task that caused it. Limited to the last {@code MAX_CHANGES} changes of each host. Not
 * thread-safe.
 */
public final class PlacementHistory {
    private static final int MAX_CHANGES = 32;

    private final Map<HostId, Deque<Change>> changes = new HashMap<>();

    private PlacementHistory() {}

    /**
     * Returns an empty history.
     *
     * @return the history
     */
    public static PlacementHistory create() {
        return new PlacementHistory();
    }

    /**
     * Records the kinds of batch work that a host runs from now on.
     *
     * @param host the host
     * @param kinds the kinds, each with the rate at which it runs, 1 unless all of it is throttled
     * @param nowMs the current instant
     */
    public void note(HostId host, Map<String, Double> kinds, long nowMs) {
        Deque<Change> hostChanges = changes.computeIfAbsent(host, h -> new ArrayDeque<>());
        if (!hostChanges.isEmpty() && hostChanges.getLast().kinds.equals(kinds)) {
            return;
        }
        hostChanges.addLast(new Change(nowMs, Map.copyOf(kinds)));
        if (hostChanges.size() > MAX_CHANGES) {
            hostChanges.removeFirst();
        }
    }

    /**
     * Returns the kinds of batch work that a host ran at a given time.
     *
     * @param host the host
     * @param instantMs the time in ms
     * @return the kinds with their rates; empty if the history does not reach back to that time
     */
    public Optional<Map<String, Double>> at(HostId host, long instantMs) {
        Deque<Change> hostChanges = changes.get(host);
        if (hostChanges == null) {
            return Optional.empty();
        }
        Iterator<Change> newestFirst = hostChanges.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.fromMs <= instantMs) {
                return Optional.of(change.kinds);
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a host's history.
     *
     * @param host the host
     */
    public void forget(HostId host) {
        changes.remove(host);
    }

    private record Change(long fromMs, Map<String, Double> kinds) {}
}
