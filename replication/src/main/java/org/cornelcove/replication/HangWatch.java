package org.cornelcove.replication;

import java.util.OptionalLong;

/**
 * Notices a disk that does not answer. A leader whose fsync hangs would go on to lead, but nothing that was committed
 * could be applied, since a member applies only what is durable at home; so it has to stop, as if the fsync had failed.
 *
 * <p>It counts the ticks that pass while one batch is under way, not the time: a process that was frozen during an fsync
 * sees much time pass, but only one tick.
 */
final class HangWatch {
    /** How long a batch may take. */
    static final long LIMIT_MS = 10_000;

    private final long limitTicks;
    private OptionalLong watched = OptionalLong.empty();
    private long ticks;

    HangWatch(long tickMs) {
        this.limitTicks = LIMIT_MS / tickMs;
    }

    /** Called at each tick with the batch under way; tells whether it hangs. */
    boolean tick(OptionalLong underWay) {
        ticks = underWay.isPresent() && underWay.equals(watched) ? ticks + 1 : 0;
        watched = underWay;
        return ticks > limitTicks;
    }
}
