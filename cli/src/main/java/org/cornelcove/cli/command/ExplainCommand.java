package org.cornelcove.cli.command;

import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.RequestExplanation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Explains the current state of a job or the history of a request. */
@Command(
        name = "explain",
        description = "Shows why a job or request is where it is.",
        footer = {"", "Examples:", "  cornelcove explain job payouts-2026-11", "  cornelcove explain request 7f3a-21"},
        subcommands = {ExplainCommand.Job.class, ExplainCommand.Request.class})
final class ExplainCommand extends GroupCommand {
    private static String lines(List<String> lines, String indent) {
        return lines.stream().map(line -> indent + Text.printable(line) + "\n").collect(Collectors.joining());
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
            return cluster.explainJob(id).map(view -> Report.of(view, lines(view.lines(), "")));
        }
    }

    /** Explains a request. */
    @Command(
            name = "request",
            description = {
                "Shows what became of a request, by each entry that knows it.",
                "Every live entry is asked; each keeps its newest requests only. Exit code 10 where one did not answer."
            },
            footer = {"", "Examples:", "  cornelcove explain request 7f3a-21"})
    static final class Request extends ClusterCommand {
        @Parameters(paramLabel = "ID", description = "The request's id, as in the header Cornelcove-Request-Id.")
        private String id;

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return cluster.explainRequest(id).map(Request::report);
        }

        private static Report report(RequestExplanation found) {
            String traces = found.traces().stream()
                    .map(trace -> "entry " + trace.entry() + "\n" + lines(trace.lines(), "  "))
                    .collect(Collectors.joining());
            String text = traces.isEmpty() ? "no entry that answered knows the request\n" : traces;
            return new Report(found, text + CoverageText.of(found.coverage()), CoverageText.exitCode(found.coverage()));
        }
    }
}
