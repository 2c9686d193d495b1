package org.cornelcove.testkit;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the stand-ins, with the subcommands {@code target}, {@code worker} and {@code caller}. */
@Command(
        name = "standin",
        description = "Stand-ins for targets, workers and callers.",
        mixinStandardHelpOptions = true,
        subcommands = {TargetCommand.class, WorkerCommand.class, CallerCommand.class})
public final class Standin {
    private Standin() {}

    /**
     * Runs the program.
     *
     * @param args the subcommand and its options
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Standin()).execute(args));
    }
}
