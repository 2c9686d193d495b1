package org.cornelcove.rules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.cornelcove.model.rule.RuleSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class CanonicalRulesTest {
    @TempDir
    private Path folder;

    @Test
    void digestDoesNotDependOnFilesOrderOrUnits() throws IOException {
        RuleSet one =
                rules("one", "tenants: {north: {weight: 2}, south: {}}\nservices: {b: {pathPrefix: /b, deadline: 1s}}");
        RuleSet split = rules(
                "split",
                "services: {b: {deadline: 1000ms, pathPrefix: /b}}",
                "tenants: {south: }",
                "tenants: {north: {weight: 2}}");
        assertThat(CanonicalRules.digest(split), is(CanonicalRules.digest(one)));
    }

    @Test
    void digestChangesWithTheRules() throws IOException {
        RuleSet one = rules("one", "tenants: {north: {weight: 2}}");
        RuleSet other = rules("other", "tenants: {north: {weight: 3}}");
        assertThat(CanonicalRules.digest(other), is(not(CanonicalRules.digest(one))));
    }

    /** Daemons and tools of different versions compare digests, so the digest of the same rules must never change. */
    @Test
    void digestOfNoRulesIsFixed() {
        assertThat(
                CanonicalRules.json(RuleSet.empty()),
                is("{\"batch\":{\"evictionsPerMinute\":30,\"maxAttempts\":4,\"quarantinePercent\":10,"
                        + "\"serviceReservePercent\":10},\"services\":{},\"teams\":{},\"tenants\":{}}"));
    }

    @Test
    void diffListsAddedRemovedAndChangedRules() throws IOException {
        RuleSet before = rules("before", "tenants: {north: {weight: 2}, south: {}}\nbatch: {maxAttempts: 3}");
        RuleSet after = rules("after", "tenants: {north: {weight: 5}, west: {}}");
        List<String> lines = RuleDiff.between(before, after).stream()
                .map(RuleChange::toString)
                .toList();
        assertThat(
                lines,
                contains(
                        "~ batch: maxAttempts 3 -> 4",
                        "~ tenant north: weight 2 -> 5",
                        "- tenant south: weight 1, maxQueued 128",
                        "+ tenant west: weight 1, maxQueued 128"));
        assertThat(RuleDiff.between(after, after), is(List.of()));
    }

    private RuleSet rules(String name, String... files) throws IOException {
        Path rules = Files.createDirectory(folder.resolve(name));
        for (int file = 0; file < files.length; file++) {
            Files.writeString(rules.resolve(file + ".yaml"), files[file]);
        }
        return RulesFolder.read(rules).get();
    }
}
