package org.cornelcove.cli.client;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * The monotonic clock and how to wait on it; tests put a manual one in place.
 *
 * @param nowMs the clock
 * @param pauseMs waits for so many milliseconds
 */
public record Timing(LongSupplier nowMs, LongConsumer pauseMs) {
    /** Returns the machine's clock. */
    public static Timing system() {
        return new Timing(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), Timing::sleep);
    }

    private static void sleep(long pauseMs) {
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
