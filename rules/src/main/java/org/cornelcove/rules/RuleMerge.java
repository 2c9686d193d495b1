package org.cornelcove.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.rule.TenantRule;

/** Merges files in order: a later rule replaces an earlier one of its name, a withdrawal removes it. */
final class RuleMerge {
    private final Map<String, Declared<ServiceRule>> services = new TreeMap<>();
    private final Map<String, Declared<TenantRule>> tenants = new TreeMap<>();
    private final Map<String, Declared<TeamRule>> teams = new TreeMap<>();
    private Optional<Declared<BatchRule>> batch = Optional.empty();
    /** Whether a file is missing from the merge, so that a withdrawal without a rule proves nothing. */
    private boolean incomplete;

    /** Notes that the next file could not be parsed. */
    void skip() {
        incomplete = true;
    }

    /** Merges the next file; withdrawals without a rule are noted as its faults. */
    void add(ParsedFile file, Faults faults) {
        file.services().forEach((name, declared) -> put(services, "service " + name, name, declared, faults));
        file.tenants().forEach((name, declared) -> put(tenants, "tenant " + name, name, declared, faults));
        file.teams().forEach((name, declared) -> put(teams, "team " + name, name, declared, faults));
        file.batch().ifPresent(declared -> putBatch(declared, faults));
    }

    private <T> void put(
            Map<String, Declared<T>> rules, String label, String name, Declared<T> declared, Faults faults) {
        if (declared.rule().isPresent()) {
            rules.put(name, declared);
        } else if (rules.remove(name) == null && !incomplete) {
            faults.addAt(declared.line(), ErrorKind.RULES_NOTHING_TO_WITHDRAW, label);
        }
    }

    private void putBatch(Declared<BatchRule> declared, Faults faults) {
        if (declared.rule().isEmpty() && batch.isEmpty() && !incomplete) {
            faults.addAt(declared.line(), ErrorKind.RULES_NOTHING_TO_WITHDRAW, "batch");
        }
        batch = declared.rule().isPresent() ? Optional.of(declared) : Optional.empty();
    }

    /**
     * Returns a fault for each service that claims another's path prefix. One prefix inside another is no overlap, since
     * the longest decides; prefixes that differ only in a slash at the end are.
     */
    List<Failure> overlaps() {
        List<Failure> failures = new ArrayList<>();
        Map<String, String> ownerByPrefix = new HashMap<>();
        services.forEach((name, declared) -> {
            String pathPrefix = declared.rule().orElseThrow().pathPrefix();
            if (pathPrefix.isEmpty()) {
                return; // noted as missing where it was read
            }
            String owner = ownerByPrefix.putIfAbsent(pathPrefix.replaceAll("/+$", ""), name);
            if (owner != null) {
                failures.add(overlap(name, owner, pathPrefix));
            }
        });
        return failures;
    }

    private Failure overlap(String name, String owner, String pathPrefix) {
        Declared<ServiceRule> later = services.get(name);
        Declared<ServiceRule> earlier = services.get(owner);
        return Failure.of(
                ErrorKind.RULES_PREFIX_OVERLAP,
                later.file(),
                later.line(),
                name,
                pathPrefix,
                owner,
                earlier.file(),
                earlier.line());
    }

    RuleSet result() {
        return new RuleSet(
                rules(services),
                rules(tenants),
                rules(teams),
                batch.flatMap(Declared::rule).orElse(BatchRule.DEFAULT));
    }

    private static <T> SortedMap<String, T> rules(Map<String, Declared<T>> declared) {
        SortedMap<String, T> rules = new TreeMap<>();
        declared.forEach((name, rule) -> rules.put(name, rule.rule().orElseThrow()));
        return rules;
    }
}
