package org.cornelcove.cli.command;

import java.util.Locale;

/** Writes the constants of the model as words. */
final class Words {
    private Words() {}

    static String of(Enum<?> constant) {
        return constant == null ? "" : constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
