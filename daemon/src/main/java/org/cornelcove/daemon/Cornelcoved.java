package org.cornelcove.daemon;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.cornelcove.daemon.settings.Settings;
import org.cornelcove.daemon.settings.SettingsOptions;
import org.cornelcove.daemon.settings.SettingsReader;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The program {@code cornelcoved}. Exits with 0 after a planned stop, 1 after a failure and 2 on invalid settings. */
@Command(
        name = "cornelcoved",
        mixinStandardHelpOptions = true,
        version = "cornelcoved 0.1.0",
        description = "The daemon of cornelcove: takes requests, places jobs, keeps the cluster's state.",
        footer = {
            "",
            "Every flag can be given as the environment variable in brackets.",
            "",
            "Examples:",
            "  cornelcoved --standalone --data-folder /var/lib/cornelcove",
            "  cornelcoved --name entry-1 --availability-zone surat --data-folder /var/lib/cornelcove \\",
            "    --member-id 1 --control-members 1=10.0.0.1:7402,2=10.0.0.2:7402,3=10.0.0.3:7402"
        })
public final class Cornelcoved implements Callable<Integer> {
    private static final int FAILED = 1;
    private static final int WRONG_USAGE = 2;

    @Mixin
    private SettingsOptions options;

    private final DaemonParts parts;

    private Cornelcoved(DaemonParts parts) {
        this.parts = parts;
    }

    /**
     * Runs the program.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(DaemonParts.standard(), args));
    }

    /**
     * Runs the program with the given dependencies until the daemon stops.
     *
     * @param parts the dependencies of the daemon
     * @param args the command line
     * @return the exit code
     */
    public static int run(DaemonParts parts, String... args) {
        return new CommandLine(new Cornelcoved(parts)).execute(args);
    }

    @Override
    public Integer call() {
        return SettingsReader.read(options).fold(Cornelcoved::printErrors, this::run);
    }

    private static int printErrors(List<Failure> errors) {
        errors.forEach(System.err::println);
        return WRONG_USAGE;
    }

    private int run(Settings settings) {
        try {
            Daemon daemon = Daemon.start(settings, parts);
            PlannedStop stop = PlannedStop.onTermination(daemon);
            Optional<Failure> failure = daemon.stopped().join();
            failure.ifPresent(System.err::println);
            stop.awaitIfStopping();
            daemon.close();
            return FAILED;
        } catch (FailureException e) {
            System.err.println(e.failure());
            return FAILED;
        }
    }
}
