package org.cornelcove.cli;

import java.io.PrintWriter;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.cli.client.Timing;
import org.cornelcove.cli.command.RootCommand;
import org.cornelcove.cli.output.Errors;
import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.UnmatchedArgumentException;

/** The main class of the command line. Every error ends in one line per failure and a documented exit code. */
public final class Cornelcove {
    private Cornelcove() {}

    /**
     * Runs one command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        try {
            return commandLine(Timing.system()).execute(arguments);
        } catch (Throwable e) { // also errors such as OutOfMemoryError: no stack trace reaches the user
            System.err.println(unexpected(e));
            return ExitCode.INTERNAL.code();
        }
    }

    /**
     * Creates the command line with its subcommands, error handlers and exit codes.
     *
     * @param timing the clock on which commands wait
     * @return picocli's command line, ready to execute
     */
    public static CommandLine commandLine(Timing timing) {
        CommandLine line = new CommandLine(RootCommand.of(timing))
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setUsageHelpWidth(110)
                .setParameterExceptionHandler(Cornelcove::reportUsage)
                .setExecutionExceptionHandler((thrown, command, parsed) -> reportUnexpected(thrown, command));
        describeExitCodes(line, exitCodes());
        return line;
    }

    private static Map<String, String> exitCodes() {
        Map<String, String> codes = new LinkedHashMap<>();
        Arrays.stream(ExitCode.values()).forEach(code -> codes.put(String.valueOf(code.code()), code.meaning()));
        return codes;
    }

    private static void describeExitCodes(CommandLine line, Map<String, String> codes) {
        line.getCommandSpec()
                .usageMessage()
                .exitCodeListHeading("Exit codes:%n")
                .exitCodeList(codes);
        line.getSubcommands().values().forEach(subcommand -> describeExitCodes(subcommand, codes));
    }

    private static int reportUsage(ParameterException thrown, String[] arguments) {
        PrintWriter err = thrown.getCommandLine().getErr();
        String message = String.valueOf(thrown.getMessage());
        boolean json = Arrays.asList(arguments).contains("--json");
        Errors.print(List.of(Failure.of(ErrorKind.USAGE, message)), json, err);
        if (!json) {
            UnmatchedArgumentException.printSuggestions(thrown, err);
        }
        err.flush();
        return ExitCode.USAGE.code();
    }

    private static int reportUnexpected(Exception thrown, CommandLine command) {
        Errors.print(List.of(unexpected(thrown)), false, command.getErr());
        return ExitCode.INTERNAL.code();
    }

    private static Failure unexpected(Throwable thrown) {
        return Failure.of(ErrorKind.INTERNAL, thrown.getClass().getSimpleName() + ": " + thrown.getMessage());
    }
}
