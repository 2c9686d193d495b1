package org.cornelcove.control.leader;

import java.util.HashMap;
import java.util.Map;

import org.cornelcove.control.state.Ownership;

/**
 * Tells from when on a new owner may act.
 *
 * <p>An unsettled epoch is first seen by the leader after its commit. Every lease that still named the previous owner
 * was answered before, so it is over one entry lease and the drift bound later; if the previous owner has lapsed, it was
 * over when that lapsed, which may be a while ago. Requests dispatched until then may run for the longest deadline. A
 * leader that finds an unsettled epoch on taking over sees it for the first time then and waits from there: longer than
 * needed, never shorter.
 *
 * @param <K> a target's name or a range's number
 */
final class Handovers<K> {
    private final Map<K, Handover> known = new HashMap<>();

    Handover of(K key, Ownership ownership, long previousOverMs, long maxDeadlineMs, long nowMs) {
        Handover before = known.get(key);
        if (before != null && before.epoch() == ownership.epoch()) {
            return before;
        }
        long dispatchable = previousOverMs <= nowMs ? previousOverMs : Leases.entryOverMs(nowMs);
        long held = dispatchable + maxDeadlineMs;
        if (before != null) {
            dispatchable = Math.max(dispatchable, before.dispatchableMs());
            held = Math.max(held, before.heldUntilMs());
        }
        Handover handover = new Handover(ownership.epoch(), dispatchable, held);
        known.put(key, handover);
        return handover;
    }

    void forget(K key) {
        known.remove(key);
    }

    void clear() {
        known.clear();
    }
}
