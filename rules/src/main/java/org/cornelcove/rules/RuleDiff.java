package org.cornelcove.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.cornelcove.model.rule.RuleSet;

/** Tells two sets of rules apart, in the words that operators write: keys and amounts with units. */
public final class RuleDiff {
    private RuleDiff() {}

    /**
     * Lists what would change.
     *
     * @param before the rules in force
     * @param after the rules to come
     * @return one change for each rule that differs, ordered by section and name; empty where nothing does
     */
    public static List<RuleChange> between(RuleSet before, RuleSet after) {
        SortedMap<String, Map<String, String>> old = RuleText.keysByRule(before);
        SortedMap<String, Map<String, String>> now = RuleText.keysByRule(after);
        SortedMap<String, Map<String, String>> all = new TreeMap<>(old);
        all.putAll(now);
        List<RuleChange> changes = new ArrayList<>();
        for (String rule : all.keySet()) {
            if (!old.containsKey(rule)) {
                changes.add(new RuleChange(RuleChange.Type.ADDED, rule, listed(now.get(rule))));
            } else if (!now.containsKey(rule)) {
                changes.add(new RuleChange(RuleChange.Type.REMOVED, rule, listed(old.get(rule))));
            } else if (!old.get(rule).equals(now.get(rule))) {
                changes.add(new RuleChange(RuleChange.Type.CHANGED, rule, compared(old.get(rule), now.get(rule))));
            }
        }
        return changes;
    }

    private static String listed(Map<String, String> keys) {
        return keys.entrySet().stream()
                .map(key -> key.getKey() + " " + key.getValue())
                .collect(Collectors.joining(", "));
    }

    private static String compared(Map<String, String> old, Map<String, String> now) {
        return now.entrySet().stream()
                .filter(key -> !key.getValue().equals(old.get(key.getKey())))
                .map(key -> key.getKey() + " " + old.get(key.getKey()) + " -> " + key.getValue())
                .collect(Collectors.joining(", "));
    }
}
