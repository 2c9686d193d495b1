package org.cornelcove.cli.command;

import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Table;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.rules.Units;
import picocli.CommandLine.Command;

/** Shows the whole cluster. */
@Command(
        name = "status",
        description = "Shows the control members, entries, targets, workers and jobs; exit code 4 without a leader.",
        footer = {"", "Examples:", "  cornelcove status", "  cornelcove status --json"})
final class StatusCommand extends ClusterCommand {
    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return cluster.status().map(StatusCommand::report);
    }

    private static Report report(ClusterStatus status) {
        String text = head(status) + "\nCONTROL MEMBERS\n" + MembersCommand.table(status.members()) + "\nENTRIES\n"
                + entries(status) + "\nTARGETS\n" + targets(status) + "\nWORKERS\n" + workers(status);
        return new Report(status, text, status.leader().isPresent() ? ExitCode.OK : ExitCode.NO_QUORUM);
    }

    private static String head(ClusterStatus status) {
        String leader = status.leader()
                .map(id -> "member " + id)
                .orElse("none; start the missing control hosts or replace them");
        String jobs = status.jobs().entrySet().stream()
                .filter(count -> count.getValue() > 0)
                .map(count -> count.getValue() + " " + Words.of(count.getKey()))
                .collect(Collectors.joining(", "));
        return "leader         " + leader + "\n"
                + "term           " + status.term() + "\n"
                + "commit index   " + status.commitIndex() + "\n"
                + "configuration  version " + status.configurationVersion() + "\n"
                + "jobs           " + (jobs.isEmpty() ? "none" : jobs) + "\n";
    }

    private static String entries(ClusterStatus status) {
        Table table = Table.of("NAME", "ZONE", "CONFIGURATION", "STATE");
        status.entries()
                .forEach(entry -> table.row(
                        entry.name(),
                        entry.availabilityZone(),
                        entry.configurationVersion(),
                        entry.live() ? "live" : "silent"));
        return table.render();
    }

    private static String targets(ClusterStatus status) {
        Table table = Table.of("NAME", "SERVICE", "ZONE", "OWNER", "STATE");
        status.targets()
                .forEach(target -> table.row(
                        target.name(),
                        target.service(),
                        target.availabilityZone(),
                        target.owner().map(Object::toString).orElse(""),
                        Words.of(target.state())));
        return table.render();
    }

    private static String workers(ClusterStatus status) {
        Table table = Table.of("NAME", "ZONE", "RACK", "CPU FREE", "MEMORY FREE", "ACCELERATORS FREE", "STATE");
        status.workers()
                .forEach(worker -> table.row(
                        worker.name(),
                        worker.availabilityZone(),
                        worker.rack(),
                        cpu(worker.free(), worker.capacity()),
                        memory(worker.free(), worker.capacity()),
                        worker.free().accelerators() + "/" + worker.capacity().accelerators(),
                        Words.of(worker.state())));
        return table.render();
    }

    private static String cpu(Resources free, Resources capacity) {
        return Units.formatCpuMillicores(free.cpuMillicores()) + "/"
                + Units.formatCpuMillicores(capacity.cpuMillicores());
    }

    private static String memory(Resources free, Resources capacity) {
        return Units.formatSizeBytes(free.memoryBytes()) + "/" + Units.formatSizeBytes(capacity.memoryBytes());
    }
}
