package org.cornelcove.rules;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations, sizes and CPU amounts: a number, which may have decimals, and its unit.
 *
 * <pre>
 * 800ms 1.5s 2m 1h      durations
 * 512B 64KiB 8MiB 1GB   sizes; KiB counts in 1024, KB in 1000
 * 64 0.5 500m           CPU: cores, or millicores with the suffix m
 * </pre>
 */
public final class Units {
    private static final Pattern AMOUNT = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?)\\s?([A-Za-z]*)");
    private static final Map<String, Long> DURATION_MS = new LinkedHashMap<>();
    private static final Map<String, Long> SIZE_BYTES = new LinkedHashMap<>();
    private static final Map<String, Long> CPU_MILLICORES = Map.of("", 1000L, "m", 1L);

    static {
        DURATION_MS.put("h", 3_600_000L);
        DURATION_MS.put("m", 60_000L);
        DURATION_MS.put("s", 1000L);
        DURATION_MS.put("ms", 1L);
        SIZE_BYTES.put("TiB", 1L << 40);
        SIZE_BYTES.put("TB", 1_000_000_000_000L);
        SIZE_BYTES.put("GiB", 1L << 30);
        SIZE_BYTES.put("GB", 1_000_000_000L);
        SIZE_BYTES.put("MiB", 1L << 20);
        SIZE_BYTES.put("MB", 1_000_000L);
        SIZE_BYTES.put("KiB", 1L << 10);
        SIZE_BYTES.put("KB", 1000L);
        SIZE_BYTES.put("B", 1L);
    }

    private Units() {}

    /**
     * Parses a duration.
     *
     * @param text such as {@code 800ms}
     * @return milliseconds, empty if the text is no duration or not representable as whole milliseconds
     */
    public static OptionalLong parseDurationMs(String text) {
        return parse(text, DURATION_MS);
    }

    /**
     * Parses a size.
     *
     * @param text such as {@code 8MiB}
     * @return bytes, empty if the text is no size or not representable as whole bytes
     */
    public static OptionalLong parseSizeBytes(String text) {
        return parse(text, SIZE_BYTES);
    }

    /**
     * Parses a CPU amount.
     *
     * @param text such as {@code 64} or {@code 500m}
     * @return millicores, empty if the text is no CPU amount or not representable as whole millicores
     */
    public static OptionalLong parseCpuMillicores(String text) {
        return parse(text, CPU_MILLICORES);
    }

    /**
     * Formats a duration in the largest unit that divides it.
     *
     * @param durationMs the duration in milliseconds
     * @return text that parses to the same duration
     */
    public static String formatDurationMs(long durationMs) {
        return format(durationMs, DURATION_MS);
    }

    /**
     * Formats a size in the largest unit that divides it.
     *
     * @param sizeBytes the size in bytes
     * @return text that parses to the same size
     */
    public static String formatSizeBytes(long sizeBytes) {
        return format(sizeBytes, SIZE_BYTES);
    }

    /**
     * Formats a CPU amount, in cores if it is a whole number of them and in millicores otherwise.
     *
     * @param cpuMillicores the amount in millicores
     * @return text that parses to the same amount
     */
    public static String formatCpuMillicores(long cpuMillicores) {
        return cpuMillicores % 1000 == 0 ? String.valueOf(cpuMillicores / 1000) : cpuMillicores + "m";
    }

    private static OptionalLong parse(String text, Map<String, Long> units) {
        Matcher amount = AMOUNT.matcher(text);
        if (!amount.matches() || !units.containsKey(amount.group(2))) {
            return OptionalLong.empty();
        }
        BigDecimal baseAmount =
                new BigDecimal(amount.group(1)).multiply(BigDecimal.valueOf(units.get(amount.group(2))));
        try {
            return OptionalLong.of(baseAmount.longValueExact());
        } catch (ArithmeticException e) {
            return OptionalLong.empty();
        }
    }

    private static String format(long amount, Map<String, Long> units) {
        String unitName = "";
        for (Map.Entry<String, Long> unit : units.entrySet()) {
            unitName = unit.getKey();
            if (amount != 0 && amount % unit.getValue() == 0) {
                return amount / unit.getValue() + unitName;
            }
        }
        return amount + unitName;
    }
}
