package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Table;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.HistogramView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows latency, queueing and run time by tenant and by class. */
@Command(
        name = "histograms",
        description = "Shows the histograms of the answering daemon, by tenant and by class; times in microseconds.",
        footer = {
            "",
            "Examples:",
            "  cornelcove histograms",
            "  cornelcove histograms --name tenant --endpoint 10.0.0.2:7401"
        })
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

    private Report report(List<HistogramView> all) {
        List<HistogramView> shown = all.stream()
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
        return Report.of(shown, table.render());
    }
}
