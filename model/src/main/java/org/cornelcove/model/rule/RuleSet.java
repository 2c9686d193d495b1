package org.cornelcove.model.rule;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The operator's rules after all files are merged. Immutable by convention: the maps are not modified after construction.
 *
 * @param services by name
 * @param tenants by name
 * @param teams by name
 * @param batch how batch work shares hosts
 */
public record RuleSet(
        SortedMap<String, ServiceRule> services,
        SortedMap<String, TenantRule> tenants,
        SortedMap<String, TeamRule> teams,
        BatchRule batch) {
    /** Returns the rules of a new cluster: none. */
    public static RuleSet empty() {
        return new RuleSet(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), BatchRule.DEFAULT);
    }
}
