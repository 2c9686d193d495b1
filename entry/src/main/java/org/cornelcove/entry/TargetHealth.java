package org.cornelcove.entry;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Ejects a target that keeps failing, and takes it back on probation.
 *
 * <p>After {@value #FAILURES_TO_EJECT} failures in a row the target gets nothing for a while; then one request at a time
 * until one succeeds, which clears the record, or fails, which doubles the while up to a bound. State changes are one
 * compare-and-set of an immutable record.
 */
final class TargetHealth {
    static final int FAILURES_TO_EJECT = 5;
    private static final long FIRST_EJECTION_NS = 1_000_000_000;
    private static final int MAX_DOUBLINGS = 5;

    private final AtomicReference<Record> state = new AtomicReference<>(Record.GOOD);

    private record Record(int failures, int ejections, long ejectedUntilNs) {
        private static final Record GOOD = new Record(0, 0, 0);

        boolean isOnProbation() {
            return ejections > 0;
        }

        Record failed(long nowNs) {
            if (!isOnProbation() && failures + 1 < FAILURES_TO_EJECT) {
                return new Record(failures + 1, 0, 0);
            }
            if (isOnProbation() && nowNs - ejectedUntilNs < 0) {
                return this;
            }
            long whileNs = FIRST_EJECTION_NS << Math.min(ejections, MAX_DOUBLINGS);
            return new Record(0, ejections + 1, nowNs + whileNs);
        }
    }

    /** Tells whether the target may take a request now. */
    boolean admits(long nowNs, int active) {
        Record now = state.get();
        return !now.isOnProbation() || (nowNs - now.ejectedUntilNs >= 0 && active == 0);
    }

    void succeeded() {
        if (state.get() != Record.GOOD) {
            state.set(Record.GOOD);
        }
    }

    /** Counts a failure; returns whether it ejected the target. */
    boolean failed(long nowNs) {
        Record before = state.getAndUpdate(now -> now.failed(nowNs));
        return before.failed(nowNs).ejections() > before.ejections();
    }
}
