package org.cornelcove.policy.learn;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.id.HostId;

/**
 * Which kinds of batch work each host ran at an instant in the recent past.
 *
 * <p>Usage reports lag. Without the history a late report would blame the task that has just started, and acquit the one
 * that caused the slowdown and is gone. Bounded to the last {@code MAX_CHANGES} changes of a host. Not thread-safe.
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
     * Notes the kinds of batch work that a host runs from now on.
     *
     * @param host the host
     * @param kinds the kinds, each with the rate at which it runs, 1 unless all of it is throttled
     * @param nowMs the current instant
     */
    public void note(HostId host, Map<String, Double> kinds, long nowMs) {
        Deque<Change> line = changes.computeIfAbsent(host, h -> new ArrayDeque<>());
        if (!line.isEmpty() && line.getLast().kinds.equals(kinds)) {
            return;
        }
        line.addLast(new Change(nowMs, Map.copyOf(kinds)));
        if (line.size() > MAX_CHANGES) {
            line.removeFirst();
        }
    }

    /**
     * Returns the kinds of batch work that a host ran at an instant.
     *
     * @param host the host
     * @param instantMs the instant
     * @return the kinds with their rates; empty when the history does not reach back so far
     */
    public Optional<Map<String, Double>> at(HostId host, long instantMs) {
        Deque<Change> line = changes.get(host);
        if (line == null) {
            return Optional.empty();
        }
        Iterator<Change> newestFirst = line.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.fromMs <= instantMs) {
                return Optional.of(change.kinds);
            }
        }
        return Optional.empty();
    }

    /**
     * Forgets a host.
     *
     * @param host the host
     */
    public void forget(HostId host) {
        changes.remove(host);
    }

    private record Change(long fromMs, Map<String, Double> kinds) {}
}
