package org.cornelcove.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the slots of one target exactly, as far as its owner can know them.
 *
 * <p>A slot is <em>active</em> from before the first byte leaves until the answer is whole. A run whose answer never
 * came may still go on at the target, so its slot is <em>lingering</em> until the target says otherwise: an
 * announcement with fewer busy slots than active ones plus lingering ones frees the difference. The active ones are
 * counted at their lowest since the announcement before, so that a run that ended meanwhile frees nobody's slot. An
 * announcement says nothing of runs that were given up after it: they may have been started after it as well.
 *
 * <p>After a change of owner the previous owner's runs hold slots unseen. Until they are surely over, only slots are
 * used that the target announced as free once the previous owner could start no more: {@code busy} of them are taken,
 * whoever holds them.
 *
 * <p>Example: 8 slots, 3 active, 2 lingering, so 3 are free. The target announces 4 busy: one lingering run is over,
 * 4 are free.
 */
final class TargetSlots {
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicInteger lowestActive = new AtomicInteger();
    private final AtomicInteger lingering = new AtomicInteger();
    /** When each lingering run was given up, the earliest first; guarded by itself. */
    private final Deque<Long> abandonedNs = new ArrayDeque<>();
    /** Completed once nothing lingers; guarded by {@link #abandonedNs}. */
    private final List<CompletableFuture<Void>> awaitingOver = new ArrayList<>();

    private volatile int total;
    private volatile int heldByOthers;

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

    /** Gives a slot back whose run is over. */
    void release() {
        int now = active.decrementAndGet();
        lowestActive.accumulateAndGet(now, Math::min);
    }

    /**
     * Turns an active slot into a lingering one: its run may go on unseen.
     *
     * @param nowNs when the run was given up
     * @return completes once the target has told that no lingering run is left
     */
    CompletableFuture<Void> abandon(long nowNs) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        synchronized (abandonedNs) {
            abandonedNs.add(nowNs);
            awaitingOver.add(over);
            lingering.set(abandonedNs.size());
        }
        release();
        return over;
    }

    /**
     * Takes in a new announcement.
     *
     * @param slots all slots of the target
     * @param busySlots those taken when the target wrote it
     * @param atNs when it was heard, or somewhat earlier
     * @return the number of runs that still linger
     */
    int announced(int slots, int busySlots, long atNs) {
        total = slots;
        int seen = lowestActive.getAndSet(active.get());
        List<CompletableFuture<Void>> over = new ArrayList<>();
        int left;
        synchronized (abandonedNs) {
            forgetEnded(Math.max(0, busySlots - seen), atNs);
            left = abandonedNs.size();
            lingering.set(left);
            if (left == 0) {
                over.addAll(awaitingOver);
                awaitingOver.clear();
            }
        }
        over.forEach(one -> one.complete(null));
        return left;
    }

    /** Forgets all but some of the runs that were given up before the instant. */
    private void forgetEnded(int stillLingering, long atNs) {
        long told =
                abandonedNs.stream().filter(givenUpNs -> givenUpNs - atNs <= 0).count();
        for (long ended = told - stillLingering; ended > 0; ended--) {
            abandonedNs.poll();
        }
    }

    /** Leaves a number of slots to runs of a previous owner. */
    void holdForOthers(int slots) {
        heldByOthers = slots;
    }

    int free() {
        return Math.max(0, limit() - active.get());
    }

    int active() {
        return active.get();
    }

    int lingering() {
        return lingering.get();
    }

    int total() {
        return total;
    }

    /** The most that may be active now. */
    int limit() {
        return total - lingering.get() - heldByOthers;
    }
}
