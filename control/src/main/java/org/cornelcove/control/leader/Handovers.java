package org.cornelcove.control.leader;

import java.util.HashMap;
import java.util.Map;

import org.cornelcove.control.state.Ownership;

/**
 * Determines the time from which a new owner may act.
 *
 * <p>An unsettled epoch is first seen by the leader after its commit. Every lease that still granted it to the previous
 * owner was sent before, so that lease expires at most one entry lease plus the drift bound later; if the previous
 * owner has lapsed, its lease had expired by the time it lapsed, which may be earlier. Requests dispatched until then
 * may run for the longest deadline. A leader that finds an unsettled epoch when it takes over counts from that time,
 * which may wait longer than necessary, never shorter.
 *
 * @param <K> a target's name or a range's number
 */
final class Handovers<K> {
    private final Map<K, Handover> handovers = new HashMap<>();

    Handover of(K key, Ownership ownership, long previousLeaseEndMs, long maxDeadlineMs, long nowMs) {
        Handover before = handovers.get(key);
        if (before != null && before.epoch() == ownership.epoch()) {
            return before;
        }
        long dispatchable = previousLeaseEndMs <= nowMs ? previousLeaseEndMs : Leases.entryLeaseEndMs(nowMs);
        long held = dispatchable + maxDeadlineMs;
        if (before != null) {
            dispatchable = Math.max(dispatchable, before.dispatchableMs());
            held = Math.max(held, before.heldUntilMs());
        }
        Handover handover = new Handover(ownership.epoch(), dispatchable, held);
        handovers.put(key, handover);
        return handover;
    }

    void forget(K key) {
        handovers.remove(key);
    }

    void clear() {
        handovers.clear();
    }
}
