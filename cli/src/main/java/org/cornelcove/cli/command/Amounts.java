package org.cornelcove.cli.command;

import java.util.OptionalLong;

import org.cornelcove.rules.Units;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converters for amounts with units on the command line, in the syntax of the rules. */
final class Amounts {
    private Amounts() {}

    private static long checked(String text, OptionalLong amount, long minimum, String remedy) {
        if (amount.isEmpty() || amount.getAsLong() < minimum) {
            throw new TypeConversionException("'" + text + "' is not usable; give " + remedy);
        }
        return amount.getAsLong();
    }

    /** Parses a duration into milliseconds. */
    static final class Duration implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            return checked(text, Units.parseDurationMs(text), 1, "a duration as 800ms, 10s, 5m or 2h");
        }
    }

    /** Parses a size into bytes. */
    static final class Size implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            return checked(text, Units.parseSizeBytes(text), 1, "a size as 512MiB or 8GiB");
        }
    }

    /** Parses an amount of processor time into thousandths of a core. */
    static final class Cpu implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            return checked(text, Units.parseCpuMillicores(text), 0, "cores as 4 or 0.5, or thousandths as 500m");
        }
    }

    /** Parses a whole number of 1 or more. */
    static final class Positive implements ITypeConverter<Long> {
        @Override
        public Long convert(String text) {
            OptionalLong number =
                    text.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
            return checked(text, number, 1, "a whole number of 1 or more");
        }
    }
}
