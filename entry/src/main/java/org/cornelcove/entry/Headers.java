package org.cornelcove.entry;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The names of headers, and which of them end at this hop. */
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
    /** Passed on only for HEAD, where it tells the length of a body that is not sent. */
    static final String CONTENT_LENGTH = "Content-Length";

    static final String CONTENT_TYPE = "Content-Type";

    /** Headers that concern one connection, those that this hop sets itself, and those that only the system may set. */
    private static final Set<String> NOT_PASSED = Set.of(
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

    /** The first letters of those. */
    private static final String NOT_PASSED_INITIALS = "cCeEkKpPtTuU";

    private Headers() {}

    /**
     * Tells whether a header is passed on.
     *
     * @param name the header's name
     * @param connectionOptions the value of the message's Connection header, null for none
     */
    static boolean isPassed(String name, String connectionOptions) {
        if (mayEndHere(name) && NOT_PASSED.contains(name.toLowerCase(Locale.ROOT))) {
            return false;
        }
        return connectionOptions == null
                || connectionOptions.equalsIgnoreCase("keep-alive")
                || !lists(connectionOptions, name.toLowerCase(Locale.ROOT));
    }

    /** Tells by the first letter whether a name can be in the set, which spares most names the conversion. */
    private static boolean mayEndHere(String name) {
        return !name.isEmpty() && NOT_PASSED_INITIALS.indexOf(name.charAt(0)) >= 0;
    }

    private static boolean lists(String options, String lowerName) {
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
