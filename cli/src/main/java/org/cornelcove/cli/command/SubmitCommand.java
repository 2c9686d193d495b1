package org.cornelcove.cli.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.Names;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.rules.JobFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Submits one job, described by flags or by a file. */
@Command(
        name = "submit",
        description =
                "Submits a job. Without --id, its id is made of its content: the same job submitted twice runs once.",
        footer = {
            "",
            "Examples:",
            "  cornelcove job submit --team payouts --task payout-run --cpu 4 --memory 8GiB --payload month=2026-11",
            "  cornelcove job submit --file job.yaml"
        })
final class SubmitCommand extends ClusterCommand {
    @Option(names = "--file", paramLabel = "FILE", description = "A YAML file with the job, in place of the flags.")
    private Path file;

    @Option(names = "--id", paramLabel = "ID", description = "The job's id; made of its content when left out.")
    private String id;

    @Option(names = "--team", paramLabel = "TEAM", description = "The team whose quota it counts against.")
    private String team;

    @Option(names = "--task", paramLabel = "TASK", description = "The kind of work, under which run times are learned.")
    private String task;

    @Option(names = "--kind", paramLabel = "KIND", description = "batch or service; batch when left out.")
    private JobKind kind;

    @Option(names = "--cpu", paramLabel = "CORES", converter = Amounts.Cpu.class, description = "As 4, 0.5 or 500m.")
    private Long cpuMillicores;

    @Option(names = "--memory", paramLabel = "SIZE", converter = Amounts.Size.class, description = "As 8GiB.")
    private Long memoryBytes;

    @Option(names = "--accelerators", paramLabel = "N", description = "Whole accelerators; 0 when left out.")
    private Integer accelerators;

    @Option(
            names = "--declared-run",
            paramLabel = "DURATION",
            converter = Amounts.Duration.class,
            description = "The run time you expect, as 40m; a hint only.")
    private Long declaredRunMs;

    @Option(names = "--urgent", description = "Placed before all that is not urgent.")
    private boolean urgent;

    @Option(names = "--payload", paramLabel = "TEXT", description = "Handed to the worker as it is.")
    private String payload;

    @Override
    Either<List<Failure>, Report> execute(Cluster cluster) {
        return job().flatMap(cluster::submit).map(JobCommand::report);
    }

    private Either<List<Failure>, JobSpec> job() {
        List<String> given = spec().commandLine().getParseResult().matchedOptionsSet().stream()
                .map(option -> option.longestName())
                .filter(name ->
                        !List.of("--file", "--endpoint", "--timeout", "--json").contains(name))
                .toList();
        if (file == null) {
            return fromFlags();
        }
        return given.isEmpty()
                ? JobFile.read(file)
                : usage("--file takes the place of the flags; put the value of " + given.get(0) + " into the file");
    }

    private Either<List<Failure>, JobSpec> fromFlags() {
        List<String> missing = new ArrayList<>();
        if (team == null) {
            missing.add("--team");
        }
        if (task == null) {
            missing.add("--task");
        }
        if (cpuMillicores == null) {
            missing.add("--cpu");
        }
        if (memoryBytes == null) {
            missing.add("--memory");
        }
        return missing.isEmpty() ? checked() : usage("give " + String.join(", ", missing) + ", or --file");
    }

    private Either<List<Failure>, JobSpec> checked() {
        for (String name : new String[] {id == null ? "unnamed" : id, team, task}) {
            if (!Names.isName(name)) {
                return usage("'" + name + "' is not a name of 1 to 128 letters, digits, '.', '-' or '_'");
            }
        }
        if (accelerators != null && accelerators < 0) {
            return usage("--accelerators " + accelerators + " is below 0; give 0 or more");
        }
        JobSpec job = new JobSpec(
                JobId.of(id == null ? "unnamed" : id),
                team,
                kind == null ? JobKind.BATCH : kind,
                task,
                Resources.of(cpuMillicores, memoryBytes, accelerators == null ? 0 : accelerators),
                declaredRunMs == null ? 0 : declaredRunMs,
                urgent,
                payload == null ? "" : payload);
        return Either.right(id == null ? JobFile.withId(job, JobFile.idFor(job)) : job);
    }
}
