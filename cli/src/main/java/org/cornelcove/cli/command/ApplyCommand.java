package org.cornelcove.cli.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.rules.RulesFolder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Proposes a folder of rules as one change.
 *
 * <p>Without {@code --number} the change gets the number after the newest one, which is read once; rules that are already
 * accepted are not proposed again. When the answer is lost, the same number and digest are resent, to which the cluster
 * repeats its first answer. When another operator has used the number for other rules, the change is refused, and the
 * operators have to decide which of the two applies.
 */
@Command(
        name = "apply",
        description = "Proposes a folder of rules as one change; all of it is accepted, or nothing.",
        footer = {
            "",
            "Examples:",
            "  cornelcove apply rules/ --wait",
            "  cornelcove apply rules/ --number 42 --operator asha"
        })
final class ApplyCommand extends ClusterCommand {
    @Parameters(paramLabel = "FOLDER", description = "The folder of *.yaml files, merged in the order of their names.")
    private Path folder;

    @Option(
            names = "--number",
            paramLabel = "N",
            converter = Amounts.Positive.class,
            description = "The change number, above that of the newest version; the next one when left out.")
    private Long number;

    @Option(
            names = "--operator",
            paramLabel = "NAME",
            defaultValue = "${env:CORNELCOVE_OPERATOR:-${sys:user.name}}",
            description = "Who proposes; the user's name when left out. [CORNELCOVE_OPERATOR]")
    private String operator;

    @Option(names = "--wait", description = "Wait until the rules are in force at every entry.")
    private boolean wait;

    @Option(
            names = "--wait-timeout",
            paramLabel = "DURATION",
            converter = Amounts.Duration.class,
            defaultValue = "30s",
            description = "How long --wait waits; ${DEFAULT-VALUE} when left out.")
    private long waitTimeoutMs;

    /**
     * The result of the command.
     *
     * @param version the version that holds them
     * @param changeNumber its change number
     * @param digest the digest of the rules
     * @param proposed whether they were proposed by this run; false when they were accepted before
     * @param inForce true once they are in force everywhere; empty without {@code --wait}
     */
    record Applied(long version, long changeNumber, String digest, boolean proposed, Optional<Boolean> inForce) {}

    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return RulesFolder.read(folder)
                .flatMap(rules -> apply(cluster, rules))
                .flatMap(applied -> wait ? awaitInForce(cluster, applied) : Either.right(applied))
                .map(ApplyCommand::report);
    }

    private Either<List<Failure>, Applied> apply(Cluster cluster, RuleSet rules) {
        String digest = CanonicalRules.digest(rules);
        if (number != null) {
            return propose(cluster, number, digest, rules);
        }
        return cluster.configuration()
                .flatMap(current -> isAccepted(current, digest)
                        ? Either.right(
                                new Applied(current.version(), current.changeNumber(), digest, false, Optional.empty()))
                        : propose(cluster, current.changeNumber() + 1, digest, rules));
    }

    private static boolean isAccepted(ConfigurationView current, String digest) {
        return current.version() > 0 && current.digest().equals(digest);
    }

    private Either<List<Failure>, Applied> propose(Cluster cluster, long changeNumber, String digest, RuleSet rules) {
        return cluster.propose(new ConfigurationProposal(changeNumber, operator, digest, rules))
                .map(accepted -> new Applied(accepted.version(), changeNumber, digest, true, Optional.empty()));
    }

    private Either<List<Failure>, Applied> awaitInForce(Cluster cluster, Applied applied) {
        return InForceWait.until(cluster, applied.version(), waitTimeoutMs, root().timing())
                .map(view -> new Applied(
                        applied.version(),
                        applied.changeNumber(),
                        applied.digest(),
                        applied.proposed(),
                        Optional.of(true)));
    }

    private static Report report(Applied applied) {
        String text = (applied.proposed() ? "accepted as version " : "nothing to change; the rules are version ")
                + applied.version() + ", change number " + applied.changeNumber() + ", digest " + applied.digest()
                + (applied.inForce().isPresent() ? "; in force everywhere" : "");
        return Report.line(applied, text);
    }
}
