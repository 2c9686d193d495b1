package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Table;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ClusterHistograms;
import org.cornelcove.model.view.HistogramView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows latency, queueing and run time by tenant and by class. */
@Command(
        name = "histograms",
        description = {
            "Shows the histograms of all live entries, merged, by tenant and by class; times in microseconds.",
            "Each entry counts since its start. Exit code 10 where a live entry did not answer."
        },
        footer = {"", "Examples:", "  cornelcove histograms", "  cornelcove histograms --name tenant.surat"})
final class HistogramsCommand extends ClusterCommand {
    @Option(
            names = "--name",
            paramLabel = "TEXT",
            defaultValue = "",
            description = "Only those whose name holds this text.")
    private String name;

    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return cluster.histograms().map(this::report);
    }

    private Report report(ClusterHistograms all) {
        List<HistogramView> shown = all.histograms().stream()
                .filter(histogram -> histogram.name().contains(name))
                .toList();
        Table table = Table.of("NAME", "COUNT", "P50 US", "P90 US", "P99 US", "MAX US");
        shown.forEach(histogram -> table.row(
                histogram.name(),
                histogram.count(),
                histogram.p50Us(),
                histogram.p90Us(),
                histogram.p99Us(),
                histogram.maxUs()));
        return new Report(
                new ClusterHistograms(shown, all.coverage()),
                table.render() + "\n" + CoverageText.of(all.coverage()),
                CoverageText.exitCode(all.coverage()));
    }
}
