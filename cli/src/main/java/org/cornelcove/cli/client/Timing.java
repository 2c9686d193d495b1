package org.cornelcove.cli.client;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * A monotonic clock and a way to wait on it; tests use a manual one.
 *
 * @param nowMs returns the current time in milliseconds, from an arbitrary origin
 * @param pauseMs waits for the given number of milliseconds
 */
public record Timing(LongSupplier nowMs, LongConsumer pauseMs) {
    /** Returns the system clock. */
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
