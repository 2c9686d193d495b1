package org.cornelcove.bench.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their instants, without waiting in between. */
final class EventLoop {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::sequence));
    private long nowUs;
    private long sequence;

    long nowUs() {
        return nowUs;
    }

    long nowMs() {
        return nowUs / 1000;
    }

    void at(long atUs, Runnable action) {
        events.add(new Event(Math.max(atUs, nowUs), sequence++, action));
    }

    void after(long delayUs, Runnable action) {
        at(nowUs + delayUs, action);
    }

    void runUntil(long endUs) {
        while (!events.isEmpty() && events.peek().atUs <= endUs) {
            Event next = events.poll();
            nowUs = next.atUs;
            next.action.run();
        }
        nowUs = endUs;
    }

    private record Event(long atUs, long sequence, Runnable action) {}
}
