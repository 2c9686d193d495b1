package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ClusterStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the whole cluster. */
@Command(
        name = "status",
        description = "Shows the control members, entries, targets, workers and jobs; exit code 4 without a leader.",
        footer = {"", "Examples:", "  cornelcove status", "  cornelcove status --all", "  cornelcove status --json"})
final class StatusCommand extends ClusterCommand {
    private static final int MAX_ROWS = 50;

    @Option(names = "--all", description = "Show every row; else the first " + MAX_ROWS + " of each table.")
    private boolean all;

    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return cluster.status().map(this::report);
    }

    private Report report(ClusterStatus status) {
        ExitCode exitCode = status.leader().isPresent() ? ExitCode.OK : ExitCode.NO_QUORUM;
        return new Report(status, StatusText.of(status, all ? Integer.MAX_VALUE : MAX_ROWS), exitCode);
    }
}
