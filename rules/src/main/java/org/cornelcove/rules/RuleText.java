package org.cornelcove.rules;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.rule.TenantRule;

/** Formats rules in the notation of the rule files, with their keys in the order of the manual. */
final class RuleText {
    private RuleText() {}

    /** Returns the keys and formatted values of each rule, by section and name. */
    static SortedMap<String, Map<String, String>> keysByRule(RuleSet rules) {
        SortedMap<String, Map<String, String>> keys = new TreeMap<>();
        rules.services().forEach((name, rule) -> keys.put("service " + name, keysOf(rule)));
        rules.tenants().forEach((name, rule) -> keys.put("tenant " + name, keysOf(rule)));
        rules.teams().forEach((name, rule) -> keys.put("team " + name, keysOf(rule)));
        keys.put("batch", keysOf(rules.batch()));
        return keys;
    }

    private static Map<String, String> keysOf(ServiceRule rule) {
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("pathPrefix", rule.pathPrefix());
        keys.put("class", RuleReader.nameOf(rule.defaultClass()));
        keys.put("deadline", Units.formatDurationMs(rule.deadlineMs()));
        keys.put("maxDeadline", Units.formatDurationMs(rule.maxDeadlineMs()));
        keys.put("maxBody", Units.formatSizeBytes(rule.maxBodyBytes()));
        keys.put("maxQueued", String.valueOf(rule.maxQueued()));
        keys.put("shortRun", Units.formatDurationMs(rule.shortRunMs()));
        keys.put("shortSlotsPercent", String.valueOf(rule.shortSlotsPercent()));
        return keys;
    }

    private static Map<String, String> keysOf(TenantRule rule) {
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("weight", String.valueOf(rule.weight()));
        keys.put("maxQueued", String.valueOf(rule.maxQueued()));
        return keys;
    }

    private static Map<String, String> keysOf(TeamRule rule) {
        Resources quota = rule.quota();
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("cpu", Units.formatCpuMillicores(quota.cpuMillicores()));
        keys.put("memory", Units.formatSizeBytes(quota.memoryBytes()));
        keys.put("accelerators", String.valueOf(quota.accelerators()));
        keys.put("weight", String.valueOf(rule.weight()));
        return keys;
    }

    private static Map<String, String> keysOf(BatchRule rule) {
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("serviceReservePercent", String.valueOf(rule.serviceReservePercent()));
        keys.put("evictionsPerMinute", String.valueOf(rule.evictionsPerMinute()));
        keys.put("maxAttempts", String.valueOf(rule.maxAttempts()));
        keys.put("quarantinePercent", String.valueOf(rule.quarantinePercent()));
        return keys;
    }
}
