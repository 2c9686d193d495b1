package org.cornelcove.control.leader;

import java.util.ArrayDeque;
import java.util.Optional;

import org.cornelcove.control.state.Tables;
import org.cornelcove.model.command.ExpireClaims;

/**
 * Determines which claims are older than their time to live. The durable state has log indexes but no times, so the
 * leader samples the applied index at an interval. A new leader starts without samples, so that claims may be kept
 * longer than their time to live, never shorter.
 */
final class ClaimClock {
    private static final long SAMPLE_INTERVAL_MS = 10_000;

    /** The index that was applied at a time. */
    private record Sample(long atMs, long appliedIndex) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    void reset() {
        samples.clear();
    }

    Optional<ExpireClaims> due(Tables tables, long nowMs) {
        if (samples.isEmpty() || nowMs - samples.getLast().atMs() >= SAMPLE_INTERVAL_MS) {
            samples.add(new Sample(nowMs, tables.appliedIndex()));
        }
        Sample old = null;
        while (!samples.isEmpty() && nowMs - samples.getFirst().atMs() >= Leases.CLAIM_TTL_MS) {
            old = samples.removeFirst();
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
