package org.cornelcove.entry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The requests of one service that wait for a slot.
 *
 * <p>Tenants share by weight: the next request comes from the tenant with the least work served so far in proportion to
 * its weight. A tenant that was away starts level with the others, so it can't save up. Within a tenant the request
 * whose latest start is nearest goes first: its deadline less its expected run time. Short and long work stand in two
 * lines, since long work waits for its share of the slots while short work passes it.
 *
 * <p>All methods but {@link #size} need the queue's monitor.
 */
final class ServiceQueue {
    private static final int MAX_IDLE_TENANTS = 256;
    private static final double NANOS_PER_MS = 1_000_000;
    private static final Comparator<Run> BY_LATEST_START =
            Comparator.<Run>comparingLong(Run::latestStartNs).thenComparingLong(Run::number);

    private final Map<String, Line> lines = new HashMap<>();
    private final AtomicInteger size = new AtomicInteger();
    private double expectedMs;
    private double servedLevel;

    private static final class Line {
        private final TreeSet<Run> shorts = new TreeSet<>(BY_LATEST_START);
        private final TreeSet<Run> longs = new TreeSet<>(BY_LATEST_START);
        private int weight;
        private double served;

        private TreeSet<Run> of(Run run) {
            return run.isLong() ? longs : shorts;
        }

        private int size() {
            return shorts.size() + longs.size();
        }

        private Run first(boolean longAllowed) {
            if (shorts.isEmpty() || (longAllowed && !longs.isEmpty() && isBefore(longs.first(), shorts.first()))) {
                return longAllowed && !longs.isEmpty() ? longs.first() : null;
            }
            return shorts.first();
        }

        private static boolean isBefore(Run one, Run other) {
            return BY_LATEST_START.compare(one, other) < 0;
        }
    }

    /** Returns the number of waiting requests; needs no monitor. */
    int size() {
        return size.get();
    }

    int size(String tenant) {
        Line line = lines.get(tenant);
        return line == null ? 0 : line.size();
    }

    /** Returns the expected run time of everything that waits. */
    double expectedMs() {
        return expectedMs;
    }

    void add(Run run, int weight) {
        Line line = lines.computeIfAbsent(run.request().tenant(), name -> new Line());
        if (line.size() == 0) {
            line.weight = weight;
            line.served = Math.max(line.served, servedLevel);
        }
        if (line.of(run).add(run)) {
            size.incrementAndGet();
            expectedMs += run.expectedNs() / NANOS_PER_MS;
        }
    }

    /** Returns the request that is next, empty when none may go. */
    Optional<Run> next(boolean longAllowed) {
        Line best = null;
        for (Line line : lines.values()) {
            if (line.first(longAllowed) != null && (best == null || line.served < best.served)) {
                best = line;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.first(longAllowed));
    }

    /** Takes a request out to start it, on its tenant's account. */
    void take(Run run) {
        Line line = lines.get(run.request().tenant());
        if (line != null && line.of(run).contains(run)) {
            servedLevel = Math.max(servedLevel, line.served);
            line.served += Math.max(1, run.expectedNs() / NANOS_PER_MS) / line.weight;
            remove(run);
        }
    }

    /** Takes a request out; returns whether it was there. */
    boolean remove(Run run) {
        Line line = lines.get(run.request().tenant());
        if (line == null || !line.of(run).remove(run)) {
            return false;
        }
        size.decrementAndGet();
        expectedMs = Math.max(0, expectedMs - run.expectedNs() / NANOS_PER_MS);
        if (lines.size() > MAX_IDLE_TENANTS) {
            lines.values().removeIf(one -> one.size() == 0);
        }
        return true;
    }
}
