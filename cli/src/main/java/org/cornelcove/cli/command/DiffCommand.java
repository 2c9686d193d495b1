package org.cornelcove.cli.command;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.rules.RuleChange;
import org.cornelcove.rules.RuleDiff;
import org.cornelcove.rules.RulesFolder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows what applying a folder would change. */
@Command(
        name = "diff",
        description = "Shows what 'apply' would change in the newest accepted rules: + added, - removed, ~ changed.",
        footer = {"", "Examples:", "  cornelcove diff rules/", "  cornelcove diff rules/ --json"})
final class DiffCommand extends ClusterCommand {
    @Parameters(paramLabel = "FOLDER", description = "The folder of *.yaml files, merged in the order of their names.")
    private Path folder;

    /**
     * The differences between the accepted rules and the folder.
     *
     * @param version the newest accepted version
     * @param changeNumber its change number
     * @param operator who proposed it
     * @param digest the digest of its rules
     * @param folderDigest the digest of the folder's rules
     * @param changes the differences
     */
    record Difference(
            long version,
            long changeNumber,
            String operator,
            String digest,
            String folderDigest,
            List<RuleChange> changes) {}

    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return RulesFolder.read(folder)
                .flatMap(rules -> cluster.configuration().map(current -> report(current, rules)));
    }

    private static Report report(ConfigurationView current, RuleSet rules) {
        Difference difference = new Difference(
                current.version(),
                current.changeNumber(),
                current.operator(),
                current.digest(),
                CanonicalRules.digest(rules),
                RuleDiff.between(current.rules(), rules));
        String head = current.version() == 0
                ? "against the rules of a new cluster"
                : "against version " + current.version() + ", change number " + current.changeNumber() + " by "
                        + current.operator() + ", digest " + current.digest();
        String lines = difference.changes().stream()
                .map(change -> Text.printable(change.toString()) + "\n")
                .collect(Collectors.joining());
        return Report.of(difference, Text.printable(head) + "\n" + (lines.isEmpty() ? "no change\n" : lines));
    }
}
