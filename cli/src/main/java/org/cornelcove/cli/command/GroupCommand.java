package org.cornelcove.cli.command;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that does nothing without one of its subcommands. */
@Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
abstract class GroupCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public final Integer call() {
        String known = String.join(", ", spec.subcommands().keySet());
        throw new ParameterException(spec.commandLine(), "'" + spec.name() + "' needs one of " + known);
    }
}
