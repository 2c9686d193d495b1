package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What one service has waiting and running at this entry. The queue is used under this object's monitor. */
final class ServiceLine {
    private static final double NANOS_PER_MS = 1_000_000;

    private final ServiceQueue queue = new ServiceQueue();
    private final AtomicInteger longActive = new AtomicInteger();
    private final AtomicLong activeExpectedNs = new AtomicLong();

    ServiceQueue queue() {
        return queue;
    }

    /** Takes one of the slots that long work may hold; work that is not long needs none. */
    boolean takeLongSlot(Run run, int mostLong) {
        while (run.isLong()) {
            int taken = longActive.get();
            if (taken >= mostLong) {
                return false;
            }
            if (longActive.compareAndSet(taken, taken + 1)) {
                return true;
            }
        }
        return true;
    }

    void giveLongSlot(Run run) {
        if (run.isLong()) {
            longActive.decrementAndGet();
        }
    }

    void started(Run run) {
        activeExpectedNs.addAndGet(run.expectedNs());
    }

    void ended(Run run) {
        activeExpectedNs.addAndGet(-run.expectedNs());
        giveLongSlot(run);
    }

    /** Returns the expected run time of all that waits, and of the half of what runs that is still to come. */
    double aheadMs() {
        return queue.expectedMs() + activeExpectedNs.get() / NANOS_PER_MS / 2;
    }

    /** Empties the queue. */
    synchronized List<Run> takeAll() {
        List<Run> taken = new ArrayList<>();
        for (Optional<Run> next = queue.next(true); next.isPresent(); next = queue.next(true)) {
            queue.remove(next.get());
            taken.add(next.get());
        }
        return taken;
    }
}
