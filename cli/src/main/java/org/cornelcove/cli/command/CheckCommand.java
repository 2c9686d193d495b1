package org.cornelcove.cli.command;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.rules.RulesFolder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks a folder of rules without contacting the cluster. */
@Command(
        name = "check",
        description = "Checks a folder of rules, without asking the cluster; every fault is shown with file and line.",
        footer = {"", "Examples:", "  cornelcove check rules/", "  cornelcove check rules/ --json"})
final class CheckCommand extends ReportingCommand {
    @Parameters(paramLabel = "FOLDER", description = "The folder of *.yaml files, merged in the order of their names.")
    private Path folder;

    /**
     * The result of a check without faults.
     *
     * @param services how many services have rules
     * @param tenants how many tenants have rules
     * @param teams how many teams have rules
     * @param digest hex SHA-256 of the canonical merged rules
     */
    record Checked(int services, int tenants, int teams, String digest) {}

    @Override
    Either<List<Failure>, Report> execute() {
        return RulesFolder.read(folder).map(CheckCommand::report);
    }

    private static Report report(RuleSet rules) {
        Checked checked = new Checked(
                rules.services().size(), rules.tenants().size(), rules.teams().size(), CanonicalRules.digest(rules));
        String text = "no fault found: " + checked.services() + " services, " + checked.tenants() + " tenants, "
                + checked.teams() + " teams; digest " + checked.digest();
        return Report.line(checked, text);
    }
}
