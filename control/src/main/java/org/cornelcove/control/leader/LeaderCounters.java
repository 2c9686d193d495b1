package org.cornelcove.control.leader;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import org.cornelcove.model.command.AssignRange;
import org.cornelcove.model.command.AssignTarget;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.job.AttemptEnd;

/** Counts the actions of this host as leader since its process start. Safe to read from any thread. */
public final class LeaderCounters {
    /** What is counted. */
    public enum Counter {
        /** Times that this host became leader. */
        LEADERSHIPS,
        /** Leases granted to entries. */
        ENTRY_LEASES,
        /** Sets of orders sent to workers, one for each heartbeat. */
        WORKER_ORDERS,
        /** Placements proposed. */
        PLACEMENTS,
        /** Attempts marked for eviction. */
        EVICTIONS,
        /** Attempts declared lost. */
        LOST_ATTEMPTS,
        /** Changes and settlements of ownership proposed. */
        ASSIGNMENTS
    }

    private final Map<Counter, LongAdder> adders = new EnumMap<>(Counter.class);

    LeaderCounters() {
        for (Counter counter : Counter.values()) {
            adders.put(counter, new LongAdder());
        }
    }

    void add(Counter counter) {
        adders.get(counter).increment();
    }

    void countProposal(Command command) {
        if (command instanceof PlaceAttempt) {
            add(Counter.PLACEMENTS);
        } else if (command instanceof EndAttempt && ((EndAttempt) command).end() == AttemptEnd.LOST) {
            add(Counter.LOST_ATTEMPTS);
        } else if (command instanceof AssignTarget || command instanceof AssignRange) {
            add(Counter.ASSIGNMENTS);
        }
    }

    /**
     * Reads one counter.
     *
     * @param counter which
     * @return its count
     */
    public long count(Counter counter) {
        return adders.get(counter).sum();
    }
}
