package org.cornelcove.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.cornelcove.model.rule.RuleSet;

/** Compares two rule sets in the notation of the rule files: keys and amounts with units. */
public final class RuleDiff {
    private RuleDiff() {}

    /**
     * Lists the differences.
     *
     * @param before the rules in force
     * @param after the proposed rules
     * @return one change for each rule that differs, ordered by section and name; empty if there is none
     */
    public static List<RuleChange> between(RuleSet before, RuleSet after) {
        SortedMap<String, Map<String, String>> old = RuleText.keysByRule(before);
        SortedMap<String, Map<String, String>> updated = RuleText.keysByRule(after);
        SortedMap<String, Map<String, String>> all = new TreeMap<>(old);
        all.putAll(updated);
        List<RuleChange> changes = new ArrayList<>();
        for (String rule : all.keySet()) {
            if (!old.containsKey(rule)) {
                changes.add(new RuleChange(RuleChange.Type.ADDED, rule, formatKeys(updated.get(rule))));
            } else if (!updated.containsKey(rule)) {
                changes.add(new RuleChange(RuleChange.Type.REMOVED, rule, formatKeys(old.get(rule))));
            } else if (!old.get(rule).equals(updated.get(rule))) {
                changes.add(new RuleChange(
                        RuleChange.Type.CHANGED, rule, formatChangedKeys(old.get(rule), updated.get(rule))));
            }
        }
        return changes;
    }

    private static String formatKeys(Map<String, String> keys) {
        return keys.entrySet().stream()
                .map(key -> key.getKey() + " " + key.getValue())
                .collect(Collectors.joining(", "));
    }

    private static String formatChangedKeys(Map<String, String> old, Map<String, String> updated) {
        return updated.entrySet().stream()
                .filter(key -> !key.getValue().equals(old.get(key.getKey())))
                .map(key -> key.getKey() + " " + old.get(key.getKey()) + " -> " + key.getValue())
                .collect(Collectors.joining(", "));
    }
}
