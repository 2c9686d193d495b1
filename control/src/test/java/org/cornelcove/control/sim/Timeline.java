package org.cornelcove.control.sim;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/** Virtual time: events run in the order of their times; events with equal times run in scheduling order. */
final class Timeline {
    private record Event(long atMs, long sequence, Runnable action) {}

    /** A limit far above what any run needs, to detect a message storm. */
    private static final long MAX_EVENTS = 1_000_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Random random;
    private long nowMs;
    private long sequence;
    private long eventCount;

    Timeline(long seed) {
        random = new Random(seed);
    }

    public long nowMs() {
        return nowMs;
    }

    public Random random() {
        return random;
    }

    public long between(long lowest, long highest) {
        return lowest + random.nextInt((int) (highest - lowest + 1));
    }

    public void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    public void every(long intervalMs, Runnable action) {
        after(intervalMs, () -> {
            action.run();
            every(intervalMs, action);
        });
    }

    public void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            if (++eventCount > MAX_EVENTS) {
                throw new IllegalStateException("more than " + MAX_EVENTS + " events by " + nowMs + " ms");
            }
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }
}
