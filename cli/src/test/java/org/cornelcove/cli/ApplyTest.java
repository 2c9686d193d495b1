package org.cornelcove.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.view.ConfigurationAccepted;
import org.cornelcove.model.view.InForceView;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.rules.RulesFolder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.cornelcove.cli.FakeDaemon.error;
import static org.cornelcove.cli.FakeDaemon.json;
import static org.cornelcove.cli.FakeDaemon.lost;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** Proposals: change numbers, lost answers, and waiting until the rules are in force. */
class ApplyTest {
    private static final String RULES = "src/test/resources/rules";
    private static final String DIGEST =
            CanonicalRules.digest(RulesFolder.read(Path.of(RULES)).get());
    private static final String PROPOSE = "POST /v1/configuration";
    private static final String IN_FORCE = "GET /v1/configuration/8/in-force";

    private FakeDaemon daemon;

    @BeforeEach
    void open() throws IOException {
        daemon = FakeDaemon.open();
        daemon.on("GET /v1/configuration", json(Samples.configuration(7, 41, "other")));
    }

    @AfterEach
    void close() {
        daemon.close();
    }

    @Test
    void diffShowsWhatWouldChange() {
        Run run = run("diff");
        assertThat(run.exitCode(), is(0));
        assertThat(run.out(), startsWith("against version 7, change number 41 by asha, digest other\n"));
        assertThat(run.out(), containsString("+ tenant north: weight 2, maxQueued 128\n"));
    }

    @Test
    void diffOfANewClusterNamesNoVersion() throws IOException {
        try (FakeDaemon newCluster = FakeDaemon.open()) {
            newCluster.on("GET /v1/configuration", json(Samples.configuration(0, 0, "")));
            Run run = Run.of("diff", RULES, "--endpoint", newCluster.endpoint());
            assertThat(run.out(), startsWith("against the rules of a new cluster\n+ tenant north"));
        }
    }

    @Test
    void takesTheNextNumber() {
        daemon.on(PROPOSE, json(new ConfigurationAccepted(8)));
        Run run = run("apply", "--operator", "ravi");
        assertThat(run.exitCode(), is(0));
        assertThat(run.out(), is("accepted as version 8, change number 42, digest " + DIGEST + "\n"));
        assertThat(
                daemon.received().get(1),
                startsWith(PROPOSE + " {\"changeNumber\":42,\"operator\":\"ravi\",\"digest\":\"" + DIGEST));
    }

    @Test
    void aLostAnswerResendsTheSameProposal() {
        daemon.on(PROPOSE, lost()).on(PROPOSE, lost()).on(PROPOSE, json(new ConfigurationAccepted(8)));
        Run run = run("apply");
        assertThat(run.exitCode(), is(0));
        List<String> proposals = daemon.received().stream()
                .filter(call -> call.startsWith(PROPOSE))
                .toList();
        assertThat(proposals, hasSize(3));
        assertThat(proposals.stream().distinct().toList(), hasSize(1));
    }

    @Test
    void repeatedlyLostAnswersAreAnUnknownOutcome() {
        daemon.on(PROPOSE, lost());
        Run run = run("apply");
        assertThat(run.exitCode(), is(7));
        assertThat(run.err(), containsString("the outcome is unknown, run the same command again"));
    }

    @Test
    void aRefusalAfterALostAnswerIsTheOutcome() {
        daemon.on(PROPOSE, lost()).on(PROPOSE, error(409, ErrorKind.CONFIGURATION_CONFLICT, 42, "abc"));
        Run run = run("apply");
        assertThat(run.exitCode(), is(1));
        assertThat(run.err(), startsWith("error(502): change number 42 was taken with other content, digest abc"));
    }

    @Test
    void acceptedRulesAreNotProposedAgain() throws IOException {
        try (FakeDaemon same = FakeDaemon.open()) {
            same.on("GET /v1/configuration", json(Samples.configuration(8, 42, DIGEST)));
            Run run = Run.of("apply", RULES, "--endpoint", same.endpoint());
            assertThat(run.exitCode(), is(0));
            assertThat(run.out(), startsWith("nothing to change; the rules are version 8"));
        }
    }

    @Test
    void aGivenNumberIsProposedWithoutReading() {
        daemon.on(PROPOSE, json(new ConfigurationAccepted(8)));
        assertThat(run("apply", "--number", "99").exitCode(), is(0));
        assertThat(daemon.received().get(0), startsWith(PROPOSE + " {\"changeNumber\":99"));
    }

    @Test
    void waitsUntilInForce() {
        daemon.on(PROPOSE, json(new ConfigurationAccepted(8)))
                .on(IN_FORCE, json(new InForceView(8, false, List.of(EntryId.of("entry-2")))))
                .on(IN_FORCE, lost())
                .on(IN_FORCE, json(new InForceView(8, true, List.of())));
        Run run = run("apply", "--wait");
        assertThat(run.exitCode(), is(0));
        assertThat(run.out(), containsString("; in force everywhere"));
    }

    @Test
    void namesTheEntriesThatItWaitsFor() {
        daemon.on(PROPOSE, json(new ConfigurationAccepted(8)))
                .on(IN_FORCE, json(new InForceView(8, false, List.of(EntryId.of("entry-2")))));
        Run run = run("apply", "--wait", "--wait-timeout", "2s");
        assertThat(run.exitCode(), is(5));
        assertThat(run.err(), containsString("version 8 is accepted but after 2s not yet in force at entry-2"));
    }

    @Test
    void faultyRulesAreNotProposed() {
        Run run = Run.of("apply", "src/test/resources/rules-faulty", "--endpoint", daemon.endpoint());
        assertThat(run.exitCode(), is(1));
        assertThat(run.err(), containsString("10-tenants.yaml:2: '-2' is not usable for tenant north weight"));
        assertThat(run.err(), containsString("10-tenants.yaml:3: unknown key 'speed'; known here are weight"));
        assertThat(daemon.received(), hasSize(0));
    }

    private Run run(String command, String... options) {
        String[] arguments = new String[options.length + 4];
        System.arraycopy(new String[] {command, RULES, "--endpoint", daemon.endpoint()}, 0, arguments, 0, 4);
        System.arraycopy(options, 0, arguments, 4, options.length);
        return Run.of(arguments);
    }
}
