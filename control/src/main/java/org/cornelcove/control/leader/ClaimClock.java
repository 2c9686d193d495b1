package org.cornelcove.control.leader;

import java.util.ArrayDeque;
import java.util.Optional;

import org.cornelcove.control.state.Tables;
import org.cornelcove.model.command.ExpireClaims;

/**
 * Tells which claims are older than their time to live. The durable state knows log indexes only, so the leader notes
 * now and then which index it had reached. A new leader starts its notes afresh: claims then live longer, not shorter.
 */
final class ClaimClock {
    private static final long NOTE_INTERVAL_MS = 10_000;

    /** What was applied when. */
    private record Note(long atMs, long appliedIndex) {}

    private final ArrayDeque<Note> notes = new ArrayDeque<>();

    void reset() {
        notes.clear();
    }

    Optional<ExpireClaims> due(Tables tables, long nowMs) {
        if (notes.isEmpty() || nowMs - notes.getLast().atMs() >= NOTE_INTERVAL_MS) {
            notes.add(new Note(nowMs, tables.appliedIndex()));
        }
        Note old = null;
        while (!notes.isEmpty() && nowMs - notes.getFirst().atMs() >= Leases.CLAIM_TTL_MS) {
            old = notes.removeFirst();
        }
        if (old == null) {
            return Optional.empty();
        }
        long upTo = old.appliedIndex();
        return tables.ledger()
                .oldestDecidedIndex()
                .filter(oldest -> oldest <= upTo)
                .map(oldest -> new ExpireClaims(upTo));
    }
}
