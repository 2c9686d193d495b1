package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Table;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.job.JobView;
import org.cornelcove.rules.Units;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits, shows and cancels jobs. */
@Command(
        name = "job",
        description = "Submits, shows, lists and cancels jobs.",
        footer = {
            "",
            "Examples:",
            "  cornelcove job submit --team payouts --task payout-run --cpu 4 --memory 8GiB",
            "  cornelcove job show payouts-2026-11",
            "  cornelcove job list --state pending",
            "  cornelcove job cancel payouts-2026-11"
        },
        subcommands = {SubmitCommand.class, JobCommand.Show.class, JobCommand.ListAll.class, JobCommand.Cancel.class})
final class JobCommand extends GroupCommand {
    /** Formats one job with a line for each field. */
    static Report report(JobView job) {
        JobSpec spec = job.spec();
        String text = line("id", spec.id())
                + line("state", Words.of(job.state()))
                + line("reason", job.reason())
                + line("team", spec.team())
                + line("kind", Words.of(spec.kind()))
                + line("task", spec.task())
                + line("cpu", Units.formatCpuMillicores(spec.resources().cpuMillicores()))
                + line("memory", Units.formatSizeBytes(spec.resources().memoryBytes()))
                + line("accelerators", spec.resources().accelerators())
                + line("urgent", spec.urgent() ? "yes" : "no")
                + line("attempt", job.attempt())
                + line("host", job.host().map(Object::toString).orElse(""))
                + line("checkpoint", job.checkpoint().orElse(""));
        return Report.of(job, text);
    }

    private static String line(String head, Object value) {
        String text = value == null ? "" : Text.printable(value.toString());
        return String.format("%-13s %s%n", head, text.isEmpty() ? "-" : text);
    }

    /** Shows one job. */
    @Command(
            name = "show",
            description = "Shows one job.",
            footer = {"", "Examples:", "  cornelcove job show payouts-2026-11"})
    static final class Show extends ClusterCommand {
        @Parameters(paramLabel = "ID", description = "The job's id.")
        private String id;

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return cluster.job(id).map(JobCommand::report);
        }
    }

    /** Lists jobs. */
    @Command(
            name = "list",
            description = "Lists the jobs.",
            footer = {"", "Examples:", "  cornelcove job list", "  cornelcove job list --state placed --team payouts"})
    static final class ListAll extends ClusterCommand {
        @Option(
                names = "--state",
                paramLabel = "STATE",
                description = "Only those in this state: ${COMPLETION-CANDIDATES}.")
        private JobState state;

        @Option(names = "--team", paramLabel = "TEAM", description = "Only those of this team.")
        private String team;

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return cluster.jobs().map(this::report);
        }

        private Report report(List<JobView> all) {
            List<JobView> shown = all.stream()
                    .filter(job -> state == null || job.state() == state)
                    .filter(job -> team == null || team.equals(job.spec().team()))
                    .toList();
            Table table = Table.of("ID", "TEAM", "KIND", "TASK", "STATE", "ATTEMPT", "HOST", "REASON");
            shown.forEach(job -> table.row(
                    job.spec().id(),
                    job.spec().team(),
                    Words.of(job.spec().kind()),
                    job.spec().task(),
                    Words.of(job.state()),
                    job.attempt(),
                    job.host().map(Object::toString).orElse(""),
                    job.reason()));
            return Report.of(shown, table.render());
        }
    }

    /** Cancels a job. */
    @Command(
            name = "cancel",
            description = "Cancels a job that has not ended; cancelling twice changes nothing.",
            footer = {"", "Examples:", "  cornelcove job cancel payouts-2026-11"})
    static final class Cancel extends ClusterCommand {
        @Parameters(paramLabel = "ID", description = "The job's id.")
        private String id;

        @Override
        Either<List<Failure>, Report> execute(Cluster cluster) {
            return cluster.cancel(id).map(JobCommand::report);
        }
    }
}
