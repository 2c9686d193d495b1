package org.cornelcove.cli.command;

import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ExplainView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows why a job or request is where it is. */
@Command(
        name = "explain",
        description = "Shows why a job or request is where it is.",
        footer = {"", "Examples:", "  cornelcove explain job payouts-2026-11", "  cornelcove explain request 7f3a-21"},
        subcommands = {ExplainCommand.Job.class, ExplainCommand.Request.class})
final class ExplainCommand extends GroupCommand {
    private static Either<List<Failure>, Report> explain(Cluster cluster, String collection, String id) {
        return cluster.explain(collection, id).map(view -> Report.of(view, text(view)));
    }

    private static String text(ExplainView view) {
        return view.lines().isEmpty()
                ? "nothing is known of it at this endpoint; ask the entry that took it\n"
                : view.lines().stream().map(line -> Text.printable(line) + "\n").collect(Collectors.joining());
    }

    /** Explains a job. */
    @Command(
            name = "job",
            description = "Shows why a job is where it is.",
            footer = {"", "Examples:", "  cornelcove explain job payouts-2026-11"})
    static final class Job extends ClusterCommand {
        @Parameters(paramLabel = "ID", description = "The job's id.")
        private String id;

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return explain(cluster, "jobs", id);
        }
    }

    /** Explains a request. */
    @Command(
            name = "request",
            description = "Shows why a request is where it is.",
            footer = {"", "Examples:", "  cornelcove explain request 7f3a-21"})
    static final class Request extends ClusterCommand {
        @Parameters(paramLabel = "ID", description = "The request's id, as in the header Cornelcove-Request-Id.")
        private String id;

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return explain(cluster, "requests", id);
        }
    }
}
