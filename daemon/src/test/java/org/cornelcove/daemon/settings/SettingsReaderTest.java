package org.cornelcove.daemon.settings;

import java.util.List;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.cornelcove.model.error.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class SettingsReaderTest {
    @TempDir
    java.nio.file.Path folder;

    static Stream<Arguments> invalidFlags() {
        return Stream.of(
                Arguments.of("--roles=entry,cook", "--roles: 'cook' is not usable"),
                Arguments.of("--name=a b", "--name: 'a b' is not usable"),
                Arguments.of("--caller-address=localhost", "ip:port with a number"),
                Arguments.of("--api-address=127.0.0.1:0", "a port above 0"),
                Arguments.of("--rpc-address=127.0.0.1:7400", "each a port of its own"),
                Arguments.of("--member-id=0", "a whole number from 1"),
                Arguments.of("--control-members=1:127.0.0.1", "not id=ip:port"),
                Arguments.of("--control-members=1=127.0.0.1:1,1=127.0.0.1:2", "duplicate member id"),
                Arguments.of("--drain-ms=soon", "--drain-ms: 'soon'"));
    }

    @ParameterizedTest
    @MethodSource("invalidFlags")
    void eachErrorNamesFlagAndExpectedValue(String flag, String text) {
        List<Failure> errors = read(validFlags(flag)).getLeft();
        assertThat(errors, hasSize(1));
        assertThat(errors.get(0).message(), containsString(text));
    }

    @Test
    void allErrorsAreReportedTogether() {
        List<Failure> errors = read("--roles=control").getLeft();
        assertThat(errors.stream().map(Failure::message).toList().toString(), errors, hasSize(5));
    }

    @Test
    void validSettingsAreRead() {
        Settings settings = read(validFlags("--drain-ms=5")).get();
        assertThat(settings.memberId(), is(2L));
        assertThat(settings.controlMembers().get(1L), is("127.0.0.1:1"));
        assertThat(settings.drainMs(), is(5L));
    }

    @Test
    void standaloneNeedsOnlyADataFolder() {
        Settings settings = read("--standalone", "--data-folder=" + folder).get();
        assertThat(settings.controlMembers().get(settings.memberId()), is("127.0.0.1:7402"));
        assertThat(settings.has(Role.ENTRY) && settings.has(Role.CONTROL), is(true));
    }

    private String[] validFlags(String override) {
        String flag = override.substring(0, override.indexOf('='));
        return Stream.concat(
                        Stream.of(
                                        "--roles=entry,control",
                                        "--name=e1",
                                        "--availability-zone=surat",
                                        "--data-folder=" + folder,
                                        "--member-id=2",
                                        "--control-members=1=127.0.0.1:1,2=127.0.0.1:2")
                                .filter(given -> !given.startsWith(flag + "=")),
                        Stream.of(override))
                .toArray(String[]::new);
    }

    private static Either<List<Failure>, Settings> read(String... flags) {
        SettingsOptions options = new SettingsOptions();
        new CommandLine(new Holder(options)).parseArgs(flags);
        return SettingsReader.read(options);
    }

    /** A command for picocli that holds the options. */
    @CommandLine.Command
    private static final class Holder {
        @CommandLine.Mixin
        private final SettingsOptions options;

        Holder(SettingsOptions options) {
            this.options = options;
        }
    }
}
