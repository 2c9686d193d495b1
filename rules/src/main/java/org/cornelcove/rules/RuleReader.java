package org.cornelcove.rules;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.rule.TenantRule;

/** Reads a rule from its YAML mapping: checks keys and bounds, and fills in defaults. */
final class RuleReader {
    private static final List<String> SERVICE_KEYS = List.of(
            "pathPrefix",
            "class",
            "deadline",
            "maxDeadline",
            "maxBody",
            "maxQueued",
            "shortRun",
            "shortSlotsPercent",
            "withdraw");
    private static final List<String> TENANT_KEYS = List.of("weight", "maxQueued", "withdraw");
    private static final List<String> TEAM_KEYS = List.of("quota", "weight", "withdraw");
    private static final List<String> BATCH_KEYS =
            List.of("serviceReservePercent", "evictionsPerMinute", "maxAttempts", "quarantinePercent", "withdraw");
    private static final List<String> RESOURCE_KEYS = List.of("cpu", "memory", "accelerators");
    private static final int MAX_QUEUED = 1_000_000;
    private static final int MAX_WEIGHT = 1000;
    private static final int MAX_ACCELERATORS = 1_000_000;

    private RuleReader() {}

    static ServiceRule service(String name, Fields fields) {
        fields.rejectUnknownKeys(SERVICE_KEYS);
        String pathPrefix = pathPrefix(fields);
        RequestClass requestClass = requestClass(fields);
        long deadlineMs = fields.durationMs("deadline", RuleDefaults.SERVICE_DEADLINE_MS);
        long maxDeadlineMs = fields.durationMs("maxDeadline", RuleDefaults.SERVICE_MAX_DEADLINE_MS);
        if (deadlineMs > maxDeadlineMs) {
            String key = fields.has("deadline") ? "deadline" : "maxDeadline";
            fields.rejectValue(key, "a deadline of at most maxDeadline, " + Units.formatDurationMs(maxDeadlineMs));
        }
        return new ServiceRule(
                name,
                pathPrefix,
                requestClass,
                deadlineMs,
                maxDeadlineMs,
                fields.sizeBytes("maxBody", RuleDefaults.SERVICE_MAX_BODY_BYTES),
                fields.integer("maxQueued", RuleDefaults.SERVICE_MAX_QUEUED, 1, MAX_QUEUED),
                fields.durationMs("shortRun", RuleDefaults.SERVICE_SHORT_RUN_MS),
                fields.integer("shortSlotsPercent", RuleDefaults.SERVICE_SHORT_SLOTS_PERCENT, 0, 100));
    }

    private static String pathPrefix(Fields fields) {
        if (!fields.require("pathPrefix")) {
            return "";
        }
        Optional<String> text = fields.text("pathPrefix");
        if (text.isPresent() && !isPathPrefix(text.get())) {
            fields.rejectValue("pathPrefix", "a path as /booking, without '?', '#' or spaces, and not below /-/");
        }
        return text.orElse("");
    }

    private static boolean isPathPrefix(String text) {
        return text.matches("/[\\x21-\\x7e&&[^?#]]{0,511}") && !text.startsWith("/-/") && !text.equals("/-");
    }

    private static RequestClass requestClass(Fields fields) {
        Optional<String> text = fields.text("class");
        if (text.isEmpty()) {
            return RuleDefaults.SERVICE_CLASS;
        }
        Optional<RequestClass> found = Arrays.stream(RequestClass.values())
                .filter(known -> nameOf(known).equals(text.get()))
                .findFirst();
        if (found.isEmpty()) {
            String known =
                    Arrays.stream(RequestClass.values()).map(RuleReader::nameOf).collect(Collectors.joining(", "));
            fields.rejectValue("class", "one of " + known);
        }
        return found.orElse(RuleDefaults.SERVICE_CLASS);
    }

    /** Returns the name of a request class as used in rules and headers. */
    static String nameOf(RequestClass requestClass) {
        return requestClass.name().toLowerCase(Locale.ROOT);
    }

    static TenantRule tenant(String name, Fields fields) {
        fields.rejectUnknownKeys(TENANT_KEYS);
        return new TenantRule(
                name, weight(fields), fields.integer("maxQueued", RuleDefaults.TENANT_MAX_QUEUED, 1, MAX_QUEUED));
    }

    static TeamRule team(String name, Fields fields) {
        fields.rejectUnknownKeys(TEAM_KEYS);
        Resources quota = fields.require("quota")
                ? resources(fields.fields("quota", "team " + name + " quota").orElseThrow())
                : Resources.NONE;
        return new TeamRule(name, quota, weight(fields));
    }

    private static int weight(Fields fields) {
        return fields.integer("weight", RuleDefaults.WEIGHT, 1, MAX_WEIGHT);
    }

    static BatchRule batch(Fields fields) {
        fields.rejectUnknownKeys(BATCH_KEYS);
        BatchRule defaults = BatchRule.DEFAULT;
        return new BatchRule(
                fields.integer("serviceReservePercent", defaults.serviceReservePercent(), 0, 100),
                fields.integer("evictionsPerMinute", defaults.evictionsPerMinute(), 0, 100_000),
                fields.integer("maxAttempts", defaults.maxAttempts(), 1, 100),
                fields.integer("quarantinePercent", defaults.quarantinePercent(), 0, 100));
    }

    static Resources resources(Fields fields) {
        fields.rejectUnknownKeys(RESOURCE_KEYS);
        fields.require("cpu");
        fields.require("memory");
        return Resources.of(
                fields.cpuMillicores("cpu"),
                fields.sizeBytes("memory", 0),
                fields.integer("accelerators", 0, 0, MAX_ACCELERATORS));
    }
}
