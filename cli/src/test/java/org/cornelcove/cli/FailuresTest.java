package org.cornelcove.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.cornelcove.cli.client.Timing;
import org.cornelcove.model.error.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import static org.cornelcove.cli.FakeDaemon.body;
import static org.cornelcove.cli.FakeDaemon.error;
import static org.cornelcove.cli.FakeDaemon.json;
import static org.cornelcove.cli.FakeDaemon.lost;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** Each kind of error has its own message, remedy and exit code. */
class FailuresTest {
    private static final String STATUS = "GET /v1/status";

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "aply | 2 | error(703): Unmatched argument at index 0: 'aply'; see --help",
                "job | 2 | error(703): 'job' needs one of submit, show, list, cancel; see --help",
                "'' | 2 | error(703): Unmatched argument at index 0: ''; see --help",
                "status --endpoint here | 2 | error(703): --endpoint 'here' is not host:port, as 10.0.0.1:7401; see --help",
                "status --timeout -1s | 2 | error(703): Invalid value for option '--timeout': '-1s' is not usable; give a duration",
                "job submit --memory -8GiB | 2 | error(703): Invalid value for option '--memory': '-8GiB' is not usable; give a size as",
                "job submit --team a --task b | 2 | error(703): give --cpu, --memory, or --file; see --help",
                "job submit --file x --team a | 2 | error(703): --file takes the place of the flags",
                "job submit --team a/b --task b --cpu 1 --memory 1B | 2 | error(703): 'a/b' is not a name",
                "job submit --file missing.yaml | 1 | error(106): can't read missing.yaml: it does not exist; check",
                "members add 0 10.0.0.1:1 | 2 | error(703): Invalid value for positional parameter at index 0 (ID): '0'",
                "members add 4 host | 2 | error(703): 'host' is not ip:port, as 10.0.0.4:7402; see --help",
                "check missing | 1 | error(101): can't read the rules folder missing: it does not exist; check the path",
                "check src/test/resources/job.yaml | 1 | error(101): can't read the rules folder src/test/resources/job.yaml: it is not a folder",
                "status --endpoint 127.0.0.1:1 | 3 | error(701): can't reach 127.0.0.1:1: connection refused; check --endpoint",
            })
    void namesFaultAndRemedy(String command, int exitCode, String message) {
        Run run = Run.of(command.split(" "));
        assertThat(run.err(), startsWith(message));
        assertThat(run.exitCode(), is(exitCode));
        assertThat(run.out(), is(""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a: [ | error(102): | not valid YAML",
                "speed: 1 | error(103): | unknown key 'speed'; known here are services, tenants, teams, batch",
                "'tenants: {n: {}, n: {}}' | error(104): | 'n' stands twice in this file",
                "'services: {b: {pathPrefix: /b, maxBody: -1MiB}}' | error(105): | give a size as",
            })
    void checkNamesEachFaultOfTheRules(String yaml, String number, String message) throws IOException {
        Files.writeString(folder.resolve("10.yaml"), yaml);
        Run run = Run.of("check", folder.toString());
        assertThat(run.exitCode(), is(1));
        assertThat(run.err(), startsWith(number + " " + folder.resolve("10.yaml") + ":1: "));
        assertThat(run.err(), containsString(message));
    }

    @Test
    void checkNamesAFileThatCannotBeRead() throws IOException {
        Files.createDirectory(folder.resolve("10.yaml"));
        Run run = Run.of("check", folder.toString());
        assertThat(run.exitCode(), is(1));
        assertThat(
                run.err(), startsWith("error(106): can't read " + folder.resolve("10.yaml") + ": not a regular file"));
    }

    @Test
    void noQuorumIsExitCode4() throws IOException {
        try (FakeDaemon daemon = FakeDaemon.open().on(STATUS, error(503, ErrorKind.NO_QUORUM))) {
            Run run = Run.of("status", "--endpoint", daemon.endpoint());
            assertThat(run.exitCode(), is(4));
            assertThat(run.err(), startsWith("error(402): no quorum among the control hosts; start the missing ones"));
        }
    }

    @Test
    void aCallerListenerIsNotAnApiListener() throws IOException {
        try (FakeDaemon daemon = FakeDaemon.open().on(STATUS, error(404, ErrorKind.SERVICE_UNKNOWN, "/v1/status"))) {
            Run run = Run.of("status", "--endpoint", daemon.endpoint());
            assertThat(run.exitCode(), is(6));
            assertThat(run.err(), containsString("it is a caller listener, not an api listener; check the port"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"<html>hello</html>", "{}", "[]", "null", "", "{\"leader\":1,\"members\":null}", "{} {}"})
    void anotherHttpServerIsExitCode6(String text) throws IOException {
        for (int status : new int[] {200, 404, 302}) {
            try (FakeDaemon daemon = FakeDaemon.open().on(STATUS, body(status, "text/html", text))) {
                Run run = Run.of("status", "--endpoint", daemon.endpoint());
                assertThat(run.err(), startsWith("error(702): " + daemon.endpoint() + " does not answer like"));
                assertThat(run.err(), containsString("check the port"));
                assertThat(run.exitCode(), is(6));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"SSH-2.0-OpenSSH\r\n", "\u0000\u0000\u0000\u0004abcd", ""})
    void aServerOfAnotherProtocolIsExitCode6(String greeting) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> greet(server, greeting));
            thread.start();
            Run run = Run.of("status", "--endpoint", "127.0.0.1:" + server.getLocalPort());
            assertThat(run.exitCode(), is(6));
            assertThat(run.err(), containsString("does not answer like cornelcoved"));
        }
    }

    private static void greet(ServerSocket server, String greeting) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4096]);
                socket.getOutputStream().write(greeting.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // the client has disconnected or the test has ended
            }
        }
    }

    @Test
    void noAnswerInTimeIsAnUnknownOutcome() throws IOException {
        try (FakeDaemon daemon = FakeDaemon.open()) {
            daemon.on("POST /v1/entries/e/drain", daemon.silent());
            Run run = Run.of("drain", "e", "--timeout", "100ms", "--endpoint", daemon.endpoint());
            assertThat(run.exitCode(), is(7));
            assertThat(run.err(), containsString("was lost: no answer within 100 ms; the outcome is unknown"));
        }
    }

    @Test
    void aDaemonThatDoesNotAnswerAReadIsUnreachable() throws IOException {
        try (FakeDaemon daemon = FakeDaemon.open()) {
            daemon.on(STATUS, daemon.silent());
            Run run = Run.of("status", "--timeout", "100ms", "--endpoint", daemon.endpoint());
            assertThat(run.exitCode(), is(3));
            assertThat(run.err(), containsString("no answer within 100 ms; check --endpoint"));
        }
    }

    @Test
    void aChangeOfMembersIsSentOnce() throws IOException {
        try (FakeDaemon daemon = FakeDaemon.open().on("POST /v1/members", lost())) {
            Run run = Run.of("members", "add", "4", "10.0.0.4:7402", "--endpoint", daemon.endpoint());
            assertThat(run.exitCode(), is(7));
            assertThat(daemon.received(), hasSize(1));
        }
    }

    @Test
    void theNextEndpointIsAsked() throws IOException {
        try (FakeDaemon withoutQuorum = FakeDaemon.open().on(STATUS, error(503, ErrorKind.NO_QUORUM));
                FakeDaemon healthy = FakeDaemon.open().on(STATUS, json(Samples.status(Optional.of(1L))))) {
            String endpoints = "127.0.0.1:1," + withoutQuorum.endpoint() + "," + healthy.endpoint();
            assertThat(Run.of("status", "--endpoint", endpoints).exitCode(), is(0));
            Run run = Run.of("status", "--endpoint", "127.0.0.1:1," + withoutQuorum.endpoint());
            assertThat(run.exitCode(), is(4));
            assertThat(run.err().lines().count(), is(2L));
        }
    }

    @Test
    void outputThatCannotBeWrittenIsExitCode9() {
        CommandLine program = Cornelcove.commandLine(Timing.system());
        StringWriter err = new StringWriter();
        Writer full = new OutputStreamWriter(new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                throw new IOException("no space left");
            }
        });
        program.setOut(new PrintWriter(full)).setErr(new PrintWriter(err));
        assertThat(program.execute("errors"), is(9));
        assertThat(err.toString(), startsWith("error(706): can't write standard output"));
    }

    @Test
    void aFaultOfTheCommandLineIsJsonForScriptsToo() {
        Run run = Run.of("--json", "aply");
        assertThat(run.exitCode(), is(2));
        assertThat(run.err(), containsString("\"number\" : 703"));
    }

    @Test
    void failuresAreJsonForScripts() {
        Run run = Run.of("check", "missing", "--json");
        assertThat(run.exitCode(), is(1));
        assertThat(run.err(), containsString("\"number\" : 101"));
    }
}
