package org.cornelcove.cli.command;

import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.cli.output.Report;
import org.cornelcove.model.error.Failure;
import picocli.AutoComplete;
import picocli.CommandLine.Command;

/** Writes a completion script for the shell. */
@Command(
        name = "completion",
        description = "Writes a completion script for bash and zsh.",
        footer = {
            "",
            "Examples:",
            "  cornelcove completion > ~/.local/share/bash-completion/completions/cornelcove",
            "  source <(cornelcove completion)"
        })
final class CompletionCommand extends ReportingCommand {
    /**
     * The script as {@code --json} shows it.
     *
     * @param script the script
     */
    record Script(String script) {}

    @Override
    Either<List<Failure>, Report> execute() {
        String script = AutoComplete.bash("cornelcove", spec().root().commandLine());
        return Either.right(Report.of(new Script(script), script));
    }
}
