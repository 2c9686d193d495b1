package org.cornelcove.control.leader;

/**
 * The durations of all leases and of the related intervals, in milliseconds.
 *
 * <p>A holder counts its lease from the time it sent the heartbeat, the leader from the later time at which it
 * responds, each on its own monotonic clock. Over one lease the two clocks differ by at most
 * {@link #DRIFT_MS}; the leader waits that much longer than the lease before it reassigns what the holder had.
 */
public final class Leases {
    /** The bound on the drift between two monotonic clocks over the longest lease: 2%. */
    public static final long DRIFT_MS = 120;

    /** How long an entry may serve after the heartbeat that last renewed its lease. */
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

    /** The age of a target's announcement up to which its owner is not sent an update of the age. */
    public static final long TARGET_FRESH_MS = 1_500;

    /** A target silent for longer loses its owner. */
    public static final long TARGET_FORGET_MS = 30_000;

    /** How long a new leader collects announcements, sent every second, before it decides without the missing ones. */
    public static final long GATHER_MS = 1_200;

    /** The minimum time for which a decided claim is kept. */
    public static final long CLAIM_TTL_MS = 3_600_000;

    private Leases() {}

    /** Returns the time from which an entry whose lease was last renewed at the given time can no longer act. */
    static long entryLeaseEndMs(long renewedMs) {
        return renewedMs + ENTRY_LEASE_MS + DRIFT_MS;
    }

    /** Returns the time from which an attempt whose lease was last renewed at the given time can no longer run. */
    static long attemptLeaseEndMs(long renewedMs) {
        return renewedMs + ATTEMPT_LEASE_MS + DRIFT_MS;
    }
}
