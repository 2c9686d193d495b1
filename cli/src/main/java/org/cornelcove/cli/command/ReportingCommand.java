package org.cornelcove.cli.command;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.cornelcove.cli.output.Errors;
import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.cli.output.Json;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that ends in a report on standard output or in failures on standard error. */
@Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
abstract class ReportingCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Runs the command. */
    abstract Either<List<Failure>, Report> execute();

    @Override
    public final Integer call() {
        return execute().fold(this::fail, this::succeed).code();
    }

    final RootCommand root() {
        return (RootCommand) spec.root().userObject();
    }

    final CommandSpec spec() {
        return spec;
    }

    static <T> Either<List<Failure>, T> usage(String message) {
        return Either.left(List.of(Failure.of(ErrorKind.USAGE, message)));
    }

    private ExitCode fail(List<Failure> failures) {
        Errors.print(failures, root().json(), spec.commandLine().getErr());
        return ExitCode.of(failures);
    }

    private ExitCode succeed(Report report) {
        String text = root().json() ? Json.write(report.json()) + "\n" : report.text();
        PrintWriter out = spec.commandLine().getOut();
        out.print(text);
        return out.checkError() ? fail(List.of(Failure.of(ErrorKind.OUTPUT_UNWRITABLE))) : report.exitCode();
    }
}
