package org.cornelcove.rules;

import java.util.OptionalLong;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class UnitsTest {
    @ParameterizedTest
    @CsvSource({
        "duration, 800ms, 800, 800ms",
        "duration, 1.5s, 1500, 1500ms",
        "duration, 120s, 120000, 2m",
        "duration, 2h, 7200000, 2h",
        "size, 512B, 512, 512B",
        "size, 1024 KiB, 1048576, 1MiB",
        "size, 125GB, 125000000000, 125GB",
        "cpu, 64, 64000, 64",
        "cpu, 0.5, 500, 500m",
        "cpu, 250m, 250, 250m",
    })
    void parsesAndFormats(String type, String text, long amount, String formatted) {
        assertThat(parse(type, text), is(OptionalLong.of(amount)));
        assertThat(format(type, amount), is(formatted));
    }

    @ParameterizedTest
    @CsvSource({
        "duration, 800",
        "duration, 1.5ms",
        "duration, -1s",
        "duration, 1d",
        "size, 10",
        "size, 1mib",
        "size, 999999999999TiB",
        "cpu, 1.00005",
        "cpu, 1e9",
        "cpu, two"
    })
    void rejects(String type, String text) {
        assertThat(parse(type, text), is(OptionalLong.empty()));
    }

    private static OptionalLong parse(String type, String text) {
        switch (type) {
            case "duration":
                return Units.parseDurationMs(text);
            case "size":
                return Units.parseSizeBytes(text);
            default:
                return Units.parseCpuMillicores(text);
        }
    }

    private static String format(String type, long amount) {
        switch (type) {
            case "duration":
                return Units.formatDurationMs(amount);
            case "size":
                return Units.formatSizeBytes(amount);
            default:
                return Units.formatCpuMillicores(amount);
        }
    }
}
