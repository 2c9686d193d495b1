package org.cornelcove.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;

import org.cornelcove.cli.client.Timing;
import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.model.error.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class HelpTest {
    static Stream<String> commands() {
        return commandsOf(Cornelcove.commandLine(Timing.system()));
    }

    private static Stream<String> commandsOf(CommandLine line) {
        Stream<String> below = line.getSubcommands().values().stream().flatMap(HelpTest::commandsOf);
        return Stream.concat(Stream.of(line.getCommandSpec().qualifiedName()), below);
    }

    @ParameterizedTest
    @MethodSource("commands")
    void helpHasAnExampleAndTheExitCodes(String command) {
        String[] words = (command + " --help").split(" ");
        Run run = Run.of(Arrays.copyOfRange(words, 1, words.length));
        assertThat(run.exitCode(), is(0));
        assertThat(run.out(), containsString("Examples:\n  " + command));
        assertThat(run.out(), containsString("Exit codes:"));
    }

    @Test
    void theManualListsEveryExitCode() throws IOException {
        String manual = Files.readString(Path.of("../docs/OPERATING.md"));
        for (ExitCode code : ExitCode.values()) {
            assertThat(manual, containsString("| " + code.code() + " | " + code.meaning() + " |"));
        }
    }

    @Test
    void errorsListsEveryKind() {
        Run run = Run.of("errors");
        assertThat(run.exitCode(), is(0));
        assertThat(run.out().lines().count(), is(1L + ErrorKind.values().length));
        assertThat(Run.of("errors", "402").out(), containsString("402     error     no quorum among"));
        assertThat(Run.of("errors", "999").exitCode(), is(2));
    }

    @Test
    void completionKnowsTheCommands() {
        Run run = Run.of("completion");
        assertThat(run.exitCode(), is(0));
        assertThat(run.out(), containsString("histograms"));
        assertThat(run.out(), containsString("complete -F _complete_cornelcove"));
    }
}
