package org.cornelcove.testkit;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the payload of a job for a worker stand-in: {@code runMs=} and the run time, 1000 ms by default. */
final class Payload {
    private static final Pattern RUN = Pattern.compile("runMs=(\\d{1,9})");
    private static final long DEFAULT_RUN_MS = 1000;

    private Payload() {}

    static long runMs(String payload) {
        Matcher matcher = RUN.matcher(payload);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : DEFAULT_RUN_MS;
    }
}
