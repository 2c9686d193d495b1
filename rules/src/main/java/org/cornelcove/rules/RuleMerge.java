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

/** Merges parsed files in order: a rule replaces the earlier rule of the same name, and a withdrawal removes it. */
final class RuleMerge {
    private final Map<String, Declared<ServiceRule>> services = new TreeMap<>();
    private final Map<String, Declared<TenantRule>> tenants = new TreeMap<>();
    private final Map<String, Declared<TeamRule>> teams = new TreeMap<>();
    private Optional<Declared<BatchRule>> batch = Optional.empty();
    /** Whether a file could not be parsed. The rule of a withdrawal may then be in that file, so none is reported. */
    private boolean incomplete;

    /** Records that a file could not be parsed and is missing from the merge. */
    void markIncomplete() {
        incomplete = true;
    }

    /** Merges the next file; a withdrawal without an earlier rule is reported as an error of this file. */
    void add(ParsedFile file, ErrorCollector errors) {
        file.services().forEach((name, declared) -> put(services, "service " + name, name, declared, errors));
        file.tenants().forEach((name, declared) -> put(tenants, "tenant " + name, name, declared, errors));
        file.teams().forEach((name, declared) -> put(teams, "team " + name, name, declared, errors));
        file.batch().ifPresent(declared -> putBatch(declared, errors));
    }

    private <T> void put(
            Map<String, Declared<T>> rules, String label, String name, Declared<T> declared, ErrorCollector errors) {
        if (declared.rule().isPresent()) {
            rules.put(name, declared);
        } else if (rules.remove(name) == null && !incomplete) {
            errors.addAt(declared.line(), ErrorKind.RULES_NOTHING_TO_WITHDRAW, label);
        }
    }

    private void putBatch(Declared<BatchRule> declared, ErrorCollector errors) {
        if (declared.rule().isEmpty() && batch.isEmpty() && !incomplete) {
            errors.addAt(declared.line(), ErrorKind.RULES_NOTHING_TO_WITHDRAW, "batch");
        }
        batch = declared.rule().isPresent() ? Optional.of(declared) : Optional.empty();
    }

    /**
     * Returns a failure for each service that claims the path prefix of another service. Nested prefixes do not
     * conflict, since the longest match wins; prefixes that differ only in trailing slashes do.
     */
    List<Failure> prefixConflicts() {
        List<Failure> failures = new ArrayList<>();
        Map<String, String> ownerByPrefix = new HashMap<>();
        services.forEach((name, declared) -> {
            String pathPrefix = declared.rule().orElseThrow().pathPrefix();
            if (pathPrefix.isEmpty()) {
                return; // already reported as missing by RuleReader
            }
            String owner = ownerByPrefix.putIfAbsent(pathPrefix.replaceAll("/+$", ""), name);
            if (owner != null) {
                failures.add(prefixConflict(name, owner, pathPrefix));
            }
        });
        return failures;
    }

    private Failure prefixConflict(String name, String owner, String pathPrefix) {
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
