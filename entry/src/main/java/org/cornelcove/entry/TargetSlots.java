package org.cornelcove.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the slots of one target exactly, as far as the owning entry can determine them.
 *
 * <p>A slot is <em>active</em> from before the first byte is sent until the answer is complete. A run that was
 * abandoned without an answer may continue at the target, so its slot is <em>orphaned</em> until an announcement frees
 * it: if fewer slots are busy than active plus orphaned, the difference is freed. The active slots are counted at their
 * minimum since the previous announcement, so that a run that ended in between does not free the slot of another one.
 * An announcement has no effect on runs abandoned after it, since they may also have been started after it.
 *
 * <p>After a change of owner, runs of the previous owner still occupy slots and are not visible here. Until all of them
 * must have finished, only those slots are used that the target announced as free after the previous owner could no
 * longer start requests: {@code busy} slots count as taken, regardless of the owner of their runs.
 *
 * <p>Example: 8 slots, 3 active, 2 orphaned, so 3 are free. The target announces 4 busy: one orphaned run has finished,
 * so 4 are free.
 */
final class TargetSlots {
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicInteger minActive = new AtomicInteger();
    private final AtomicInteger orphaned = new AtomicInteger();
    /** When each orphaned run was abandoned, the earliest first; guarded by itself. */
    private final Deque<Long> abandonedNs = new ArrayDeque<>();
    /** Completed once no orphaned run is left; guarded by {@link #abandonedNs}. */
    private final List<CompletableFuture<Void>> orphansFinished = new ArrayList<>();

    private volatile int total;
    private volatile int reservedForPreviousOwner;

    TargetSlots(int total) {
        this.total = total;
    }

    /** Takes a slot if one is free and fewer than the given number are active. */
    boolean tryTake(int usable) {
        while (true) {
            int taken = active.get();
            if (taken >= Math.min(usable, limit())) {
                return false;
            }
            if (active.compareAndSet(taken, taken + 1)) {
                return true;
            }
        }
    }

    /** Releases the slot of a finished run. */
    void release() {
        int now = active.decrementAndGet();
        minActive.accumulateAndGet(now, Math::min);
    }

    /**
     * Turns an active slot into an orphaned one, whose run may continue at the target.
     *
     * @param nowNs when the run was abandoned
     * @return completes once an announcement shows that no orphaned run is left
     */
    CompletableFuture<Void> abandon(long nowNs) {
        CompletableFuture<Void> finished = new CompletableFuture<>();
        synchronized (abandonedNs) {
            abandonedNs.add(nowNs);
            orphansFinished.add(finished);
            orphaned.set(abandonedNs.size());
        }
        release();
        return finished;
    }

    /**
     * Applies a new announcement.
     *
     * @param slots all slots of the target
     * @param busySlots those occupied when the target created the announcement
     * @param atNs when it was received, or somewhat earlier
     * @return the number of runs that are still orphaned
     */
    int applyAnnouncement(int slots, int busySlots, long atNs) {
        total = slots;
        int seen = minActive.getAndSet(active.get());
        List<CompletableFuture<Void>> finished = new ArrayList<>();
        int left;
        synchronized (abandonedNs) {
            removeFinished(Math.max(0, busySlots - seen), atNs);
            left = abandonedNs.size();
            orphaned.set(left);
            if (left == 0) {
                finished.addAll(orphansFinished);
                orphansFinished.clear();
            }
        }
        finished.forEach(one -> one.complete(null));
        return left;
    }

    /** Removes all but the given number of the runs that were abandoned before the instant. */
    private void removeFinished(int stillOrphaned, long atNs) {
        long candidates =
                abandonedNs.stream().filter(orphanNs -> orphanNs - atNs <= 0).count();
        for (long ended = candidates - stillOrphaned; ended > 0; ended--) {
            abandonedNs.poll();
        }
    }

    /** Reserves a number of slots for runs of a previous owner. */
    void reserveForPreviousOwner(int slots) {
        reservedForPreviousOwner = slots;
    }

    int free() {
        return Math.max(0, limit() - active.get());
    }

    int active() {
        return active.get();
    }

    int orphaned() {
        return orphaned.get();
    }

    int total() {
        return total;
    }

    /** Returns the number of slots that may be active now; negative if more are orphaned or reserved than exist. */
    int limit() {
        return total - orphaned.get() - reservedForPreviousOwner;
    }
}
