package org.cornelcove.cli.command;

import java.util.Locale;

/** Formats enum constants of the model and durations for people. */
final class Words {
    private static final double MS_PER_SECOND = 1_000;

    private Words() {}

    /** Formats a duration in seconds, to a tenth. */
    static String ofDuration(long ms) {
        return String.format(Locale.ROOT, "%.1fs", ms / MS_PER_SECOND);
    }

    static String of(Enum<?> constant) {
        return constant == null ? "" : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
