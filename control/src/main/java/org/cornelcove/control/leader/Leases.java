package org.cornelcove.control.leader;

/**
 * The lengths of all leases and of the intervals that belong to them, in milliseconds.
 *
 * <p>A holder counts its lease from the instant at which it sent the heartbeat, the leader from the later instant at
 * which it answers, each on its own monotonic clock. Over one lease the two clocks differ by at most
 * {@link #DRIFT_MS}; the leader waits for that long beyond the lease before it gives away what the holder had.
 */
public final class Leases {
    /** How far two monotonic clocks run apart over the longest lease: 2%. */
    public static final long DRIFT_MS = 120;

    /** How long an entry serves without an answer. */
    public static final long ENTRY_LEASE_MS = 2_400;

    /** How often an entry sends a heartbeat. */
    public static final long ENTRY_HEARTBEAT_MS = 250;

    /** How long an attempt runs without an order that renews it. */
    public static final long ATTEMPT_LEASE_MS = 6_000;

    /** How often a worker sends a heartbeat. */
    public static final long WORKER_HEARTBEAT_MS = 500;

    /** A worker silent for longer gets no new work. */
    public static final long WORKER_SILENCE_MS = 2_000;

    /** A worker that holds nothing is forgotten after this silence. */
    public static final long WORKER_FORGET_MS = 600_000;

    /** A target silent for longer gets no new work. */
    public static final long TARGET_SILENCE_MS = 3_000;

    /** A target that was heard within this time need not be told of in the answer to its owner. */
    public static final long TARGET_FRESH_MS = 1_500;

    /** A target silent for longer loses its owner. */
    public static final long TARGET_FORGET_MS = 30_000;

    /** How long a new leader gathers announcements, which come every second, before it decides without them. */
    public static final long GATHER_MS = 1_200;

    /** How long a decided claim is kept at least. */
    public static final long CLAIM_TTL_MS = 3_600_000;

    private Leases() {}

    /** Returns the instant from which an entry, last renewed at the given one, can't act any more. */
    static long entryOverMs(long renewedMs) {
        return renewedMs + ENTRY_LEASE_MS + DRIFT_MS;
    }

    /** Returns the instant from which an attempt, last renewed at the given one, can't run any more. */
    static long attemptOverMs(long renewedMs) {
        return renewedMs + ATTEMPT_LEASE_MS + DRIFT_MS;
    }
}
