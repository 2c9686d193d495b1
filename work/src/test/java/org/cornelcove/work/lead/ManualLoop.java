package org.cornelcove.work.lead;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A single-threaded loop on a clock that a test advances. */
public final class ManualLoop implements LoopClock {
    private static final long TICK_MS = 50;

    private record Due(long atMs, long number, Runnable task) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::number));
    private long nowMs = 100_000;
    private long number;
    boolean leased = true;
    Term term;

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return nowMs;
    }

    @Override
    public boolean leased() {
        return leased;
    }

    @Override
    public void later(long delayMs, Runnable task) {
        due.add(new Due(nowMs + delayMs, number++, task));
    }

    @Override
    public void execute(Runnable task) {
        later(0, task);
    }

    /** Advances the clock and runs the tasks that become due. */
    void run(long ms) {
        long endMs = nowMs + ms;
        for (long tickMs = nowMs; tickMs <= endMs; tickMs += TICK_MS) {
            runUntil(tickMs);
            term.tick();
            term.settle();
        }
        runUntil(endMs);
    }

    private void runUntil(long untilMs) {
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            nowMs = Math.max(nowMs, next.atMs());
            next.task().run();
            term.settle();
        }
        nowMs = Math.max(nowMs, untilMs);
    }
}
