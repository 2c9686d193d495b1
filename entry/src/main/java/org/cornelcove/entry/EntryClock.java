package org.cornelcove.entry;

import java.util.function.LongSupplier;

/**
 * The clocks of an entry.
 *
 * @param nowNs the monotonic clock, used for all decisions of the entry
 * @param unixMs the wall clock, used only for the not-after instant sent to targets
 */
public record EntryClock(LongSupplier nowNs, LongSupplier unixMs) {
    /** Returns the system clocks. */
    public static EntryClock system() {
        return new EntryClock(System::nanoTime, System::currentTimeMillis);
    }
}
