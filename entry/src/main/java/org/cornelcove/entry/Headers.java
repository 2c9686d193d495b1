package org.cornelcove.entry;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Header names, and the set of headers that are not forwarded. */
final class Headers {
    static final String TENANT = "Cornelcove-Tenant";
    static final String REQUEST_ID = "Cornelcove-Request-Id";
    static final String CLASS = "Cornelcove-Class";
    static final String KEY = "Cornelcove-Key";
    static final String DEADLINE_MS = "Cornelcove-Deadline-Ms";
    static final String RUN = "Cornelcove-Run";
    static final String TARGET = "Cornelcove-Target";
    static final String ENTRY = "Cornelcove-Entry";
    static final String ERROR = "Cornelcove-Error";
    static final String EPOCH = "Cornelcove-Epoch";
    static final String NOT_AFTER = "Cornelcove-Not-After";
    static final String RETRY_AFTER = "Retry-After";
    /** Forwarded only for HEAD, where it states the length of a body that is not sent. */
    static final String CONTENT_LENGTH = "Content-Length";

    static final String CONTENT_TYPE = "Content-Type";

    /** Hop-by-hop headers, headers that this hop sets itself, and headers that only the system may set. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "cornelcove-request-id",
            "cornelcove-run",
            "cornelcove-target",
            "cornelcove-entry",
            "cornelcove-error",
            "cornelcove-epoch",
            "cornelcove-not-after");

    /** The first letters of the names in {@link #NOT_FORWARDED}, in both cases. */
    private static final String NOT_FORWARDED_INITIALS = "cCeEkKpPtTuU";

    private Headers() {}

    /**
     * Returns whether a header is forwarded.
     *
     * @param name the header's name
     * @param connectionOptions the value of the message's Connection header, null for none
     */
    static boolean isForwarded(String name, String connectionOptions) {
        if (mayBeHopByHop(name) && NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
            return false;
        }
        return connectionOptions == null
                || connectionOptions.equalsIgnoreCase("keep-alive")
                || !containsOption(connectionOptions, name.toLowerCase(Locale.ROOT));
    }

    /** Checks the first letter, so that most names need no conversion to lower case. */
    private static boolean mayBeHopByHop(String name) {
        return !name.isEmpty() && NOT_FORWARDED_INITIALS.indexOf(name.charAt(0)) >= 0;
    }

    private static boolean containsOption(String options, String lowerName) {
        for (String option : options.split(",")) {
            if (option.strip().toLowerCase(Locale.ROOT).equals(lowerName)) {
                return true;
            }
        }
        return false;
    }

    static String find(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equalsIgnoreCase(name)) {
                return header.value();
            }
        }
        return "";
    }
}
