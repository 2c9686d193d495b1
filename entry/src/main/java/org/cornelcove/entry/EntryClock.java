package org.cornelcove.entry;

import java.util.function.LongSupplier;

/**
 * The clocks of an entry.
 *
 * @param nowNs the monotonic clock, by which everything here is decided
 * @param unixMs the wall clock, used only for the not-after instant that targets are told
 */
public record EntryClock(LongSupplier nowNs, LongSupplier unixMs) {
    /** Returns the clocks of the machine. */
    public static EntryClock system() {
        return new EntryClock(System::nanoTime, System::currentTimeMillis);
    }
}
