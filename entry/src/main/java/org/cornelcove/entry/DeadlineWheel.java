package org.cornelcove.entry;

import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * Timers for request deadlines: a hashed timing wheel of lock-free buckets, each 10 ms wide. Nearly every timer is
 * cancelled, so starting and cancelling one must be cheap: starting appends to a bucket, cancelling clears the
 * reference to the action, and the cleared timer is removed when the wheel reaches its bucket. A timer fires at most
 * one tick late and never early. A scheduled thread pool was rejected, because its heap has one lock for all requests.
 */
final class DeadlineWheel implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(DeadlineWheel.class.getName());
    private static final long TICK_NS = 10_000_000;
    private static final int BUCKETS = 1_024;

    private final LongSupplier nowNs;
    private final Bucket[] buckets = new Bucket[BUCKETS];
    private final Thread ticker;
    private volatile long expiredTick;
    private volatile boolean closed;

    /** A started timer. */
    static final class Timer {
        private final long dueNs;
        private final AtomicReference<Runnable> action;

        private Timer(long dueNs, Runnable action) {
            this.dueNs = dueNs;
            this.action = new AtomicReference<>(action);
        }

        /** Cancels the timer; has no effect once its action has started. */
        void cancel() {
            action.set(null);
        }
    }

    private static final class Bucket {
        private final Queue<Timer> timers = new ConcurrentLinkedQueue<>();
    }

    private DeadlineWheel(LongSupplier nowNs) {
        this.nowNs = nowNs;
        expiredTick = Math.floorDiv(nowNs.getAsLong(), TICK_NS);
        for (int i = 0; i < BUCKETS; i++) {
            buckets[i] = new Bucket();
        }
        ticker = new Thread(this::run, "deadline-wheel");
        ticker.setDaemon(true);
    }

    static DeadlineWheel start(LongSupplier nowNs) {
        DeadlineWheel wheel = new DeadlineWheel(nowNs);
        wheel.ticker.start();
        return wheel;
    }

    /** Runs the action once the instant has passed, on the wheel's thread, so it must not block. */
    Timer at(long dueNs, Runnable action) {
        Timer timer = new Timer(dueNs, action);
        long tick = Math.floorDiv(dueNs, TICK_NS) + 1;
        long earliest = Math.floorDiv(nowNs.getAsLong(), TICK_NS) + 1;
        long chosen = Math.max(tick, earliest);
        buckets[Math.floorMod(chosen, BUCKETS)].timers.add(timer);
        if (expiredTick >= chosen) {
            // The wheel passed the bucket while this thread was delayed; it would fire only a full revolution later.
            fire(timer);
        }
        return timer;
    }

    private void run() {
        while (!closed) {
            long now = nowNs.getAsLong();
            long from = expiredTick;
            long current = Math.floorDiv(now, TICK_NS);
            expiredTick = current;
            for (long tick = Math.max(from, current - BUCKETS) + 1; tick <= current; tick++) {
                expire(buckets[Math.floorMod(tick, BUCKETS)], now);
            }
            sleep();
        }
    }

    private static void expire(Bucket bucket, long now) {
        for (Iterator<Timer> all = bucket.timers.iterator(); all.hasNext(); ) {
            Timer timer = all.next();
            if (timer.action.get() == null) {
                all.remove();
            } else if (timer.dueNs - now <= 0) {
                all.remove();
                fire(timer);
            }
        }
    }

    private static void fire(Timer timer) {
        Runnable action = timer.action.getAndSet(null);
        if (action == null) {
            return;
        }
        try {
            action.run();
        } catch (RuntimeException e) {
            LOGGER.log(System.Logger.Level.ERROR, "a deadline's action failed", e);
        }
    }

    private void sleep() {
        try {
            Thread.sleep(TICK_NS / 1_000_000);
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    @Override
    public void close() {
        closed = true;
        ticker.interrupt();
    }
}
