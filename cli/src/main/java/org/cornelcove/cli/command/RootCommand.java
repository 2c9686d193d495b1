package org.cornelcove.cli.command;

import java.util.List;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.cornelcove.cli.client.Cluster;
import org.cornelcove.cli.client.Endpoints;
import org.cornelcove.cli.client.Timing;
import org.cornelcove.model.error.Failure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The root command, with the options that every command accepts before or after its name. */
@Command(
        name = "cornelcove",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Looks after a cornelcove cluster: its rules, members, entries and jobs.",
        footer = {
            "",
            "Examples:",
            "  cornelcove check rules/",
            "  cornelcove apply rules/ --wait",
            "  cornelcove --endpoint 10.0.0.1:7401,10.0.0.2:7401 status",
            "  cornelcove job list --json"
        },
        subcommands = {
            CheckCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            StatusCommand.class,
            MembersCommand.class,
            DrainCommand.class,
            JobCommand.class,
            ExplainCommand.class,
            HistogramsCommand.class,
            ErrorsCommand.class,
            CompletionCommand.class
        })
public final class RootCommand implements Callable<Integer> {
    private final Timing timing;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--endpoint",
            split = ",",
            paramLabel = "HOST:PORT",
            scope = ScopeType.INHERIT,
            defaultValue = "${env:CORNELCOVE_ENDPOINT:-127.0.0.1:7401}",
            description =
                    "The api listeners to ask, tried in order; 127.0.0.1:7401 when left out. [CORNELCOVE_ENDPOINT]")
    private List<String> endpoints;

    @Option(
            names = "--timeout",
            paramLabel = "DURATION",
            scope = ScopeType.INHERIT,
            converter = Amounts.Duration.class,
            defaultValue = "${env:CORNELCOVE_TIMEOUT}",
            description = "How long to wait for each answer; 10s when left out, and longer where a command takes "
                    + "longer by nature. [CORNELCOVE_TIMEOUT]")
    private Long timeoutMs;

    @Option(names = "--json", scope = ScopeType.INHERIT, description = "Write JSON, for scripts.")
    private boolean json;

    private RootCommand(Timing timing) {
        this.timing = timing;
    }

    /**
     * Creates the root command.
     *
     * @param timing the clock on which commands wait
     * @return the command object for picocli
     */
    public static RootCommand of(Timing timing) {
        return new RootCommand(timing);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Returns a client of the cluster; its timeout is --timeout when set, else the command's default. */
    Either<List<Failure>, Cluster> cluster(long defaultTimeoutMs) {
        long waitMs = timeoutMs == null ? defaultTimeoutMs : timeoutMs;
        return Endpoints.of(endpoints).map(found -> Cluster.of(found, waitMs, timing));
    }

    Timing timing() {
        return timing;
    }

    boolean json() {
        return json;
    }
}
