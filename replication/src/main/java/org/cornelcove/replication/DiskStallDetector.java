package org.cornelcove.replication;

import java.util.OptionalLong;

/**
 * Detects a disk that no longer responds. A leader whose fsync blocks would remain leader, but could not apply any
 * committed entry, since a member applies only entries that are durable on its own disk. It therefore has to stop, as
 * if the fsync had failed.
 *
 * <p>The detector counts the ticks during one batch instead of measuring elapsed time: a process that was suspended
 * during an fsync sees a long elapsed time, but only one tick.
 */
final class DiskStallDetector {
    /** How long a batch may take. */
    static final long LIMIT_MS = 10_000;

    private final long limitTicks;
    private OptionalLong watched = OptionalLong.empty();
    private long ticks;

    DiskStallDetector(long tickMs) {
        this.limitTicks = LIMIT_MS / tickMs;
    }

    /** Called at each tick with the batch in progress; returns whether that batch has exceeded the limit. */
    boolean tick(OptionalLong currentBatch) {
        ticks = currentBatch.isPresent() && currentBatch.equals(watched) ? ticks + 1 : 0;
        watched = currentBatch;
        return ticks > limitTicks;
    }
}
