package org.cornelcove.testkit;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a job's payload tells a worker stand-in. */
final class Payload {
    private static final Pattern RUN = Pattern.compile("runMs=(\\d{1,9})");
    private static final long DEFAULT_RUN_MS = 1000;

    private Payload() {}

    static long runMs(String payload) {
        Matcher found = RUN.matcher(payload);
        return found.find() ? Long.parseLong(found.group(1)) : DEFAULT_RUN_MS;
    }
}
