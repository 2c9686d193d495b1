package org.cornelcove.cli;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.cornelcove.cli.output.Json;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.view.ClusterHistograms;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.Coverage;
import org.cornelcove.model.view.EntryGap;
import org.cornelcove.model.view.EntryTrace;
import org.cornelcove.model.view.ExplainView;
import org.cornelcove.model.view.HistogramView;
import org.cornelcove.model.view.MemberState;
import org.cornelcove.model.view.MemberView;
import org.cornelcove.model.view.RequestExplanation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.cornelcove.cli.FakeDaemon.done;
import static org.cornelcove.cli.FakeDaemon.error;
import static org.cornelcove.cli.FakeDaemon.json;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/** The calls that each command makes and the output it shows. */
class CommandsTest {
    private static final String STATUS = "GET /v1/status";

    private static final List<EntryTrace> TRACES = List.of(
            new EntryTrace(EntryId.of("e1"), List.of("queued", "forwarded to e2")),
            new EntryTrace(EntryId.of("e2"), List.of("dispatched")));
    private static final List<HistogramView> HISTOGRAMS = List.of(
            new HistogramView("latency.tenant.north", 10, 1, 2, 3, 4),
            new HistogramView("latency.class.once", 5, 1, 2, 3, 4));

    private FakeDaemon daemon;

    @BeforeEach
    void open() throws IOException {
        daemon = FakeDaemon.open()
                .on(STATUS, json(Samples.status(Optional.of(1L))))
                .on("GET /v1/members", json(Samples.MEMBERS))
                .on("POST /v1/members", done())
                .on("DELETE /v1/members/1", done())
                .on("POST /v1/entries/entry-1/drain", done())
                .on(
                        "GET /v1/jobs",
                        json(List.of(Samples.job("a", JobState.PLACED), Samples.job("b", JobState.PENDING))))
                .on("GET /v1/jobs/a", json(Samples.job("a", JobState.PLACED)))
                .on("DELETE /v1/jobs/a", json(Samples.job("a", JobState.CANCELLED)))
                .on("POST /v1/jobs", json(Samples.job("a", JobState.PENDING)))
                .on("GET /v1/explain/jobs/a", json(new ExplainView(List.of("waits for memory", "next"))))
                .on("GET /v1/explain/requests/r%2F1", json(new RequestExplanation(TRACES, Samples.WHOLE)))
                .on("GET /v1/histograms", json(new ClusterHistograms(HISTOGRAMS, Samples.WHOLE)));
    }

    @AfterEach
    void close() {
        daemon.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "members                   | GET /v1/members                              | 12  127.0.0.2:7402  no      learner  -           7",
                "members remove 1          | DELETE /v1/members/1                         | member 1 is removed",
                "members add 4 10.0.0.4:72 | POST /v1/members {\"id\":4,\"address\":\"10.0.0.4:72\"} | member 4 at 10.0.0.4:72 votes",
                "drain entry-1             | POST /v1/entries/entry-1/drain               | entry-1 is drained and may be stopped",
                "job list                  | GET /v1/jobs                                 | b   payouts  batch  run   pending",
                "job show a                | GET /v1/jobs/a                               | cpu           4",
                "job cancel a              | DELETE /v1/jobs/a                            | state         cancelled",
                "explain job a             | GET /v1/explain/jobs/a                       | waits for memory",
                "explain request r/1       | GET /v1/explain/requests/r%2F1               | queued",
                "histograms --name once    | GET /v1/histograms                           | latency.class.once  5      1       2       3       4",
                "status                    | GET /v1/status                               | configuration  version 7",
            })
    void makesTheCallAndShowsTheAnswer(String command, String call, String shown) {
        Run run = run(command);
        assertThat(run.err(), is(""));
        assertThat(run.exitCode(), is(0));
        assertThat(daemon.received(), is(List.of(call)));
        assertThat(run.out(), containsString(shown));
    }

    @Test
    void statusIsAlignedTables() {
        assertThat(
                run("status").out(),
                containsString("jobs           2 placed\n"
                        + "\nCONTROL MEMBERS: 1 leader, 1 learner, 1 silent\n"
                        + "ID  ADDRESS         VOTING  STATE    SILENT FOR  BEHIND\n"
                        + "1   127.0.0.1:7402  yes     leader   -           -\n"
                        + "2   127.0.0.3:7402  yes     silent   61.3s       90\n"
                        + "12  127.0.0.2:7402  no      learner  -           7\n"
                        + "\nENTRIES: 1 live\n"
                        + "NAME     ZONE   CONFIGURATION  STATE\n"
                        + "entry-1  surat  7              live\n"
                        + "\nTARGETS: 1 leaving\n"
                        + "NAME       SERVICE  ZONE   OWNER  STATE\n"
                        + "booking-1  booking  surat  -      leaving\n"
                        + "\nWORKERS: 1 live\n"
                        + "NAME      ZONE   RACK    CPU FREE  MEMORY FREE  ACCELERATORS FREE  STATE\n"
                        + "worker-1  surat  rack-1  500m/32   8GiB/125GB   0/1                live\n"));
    }

    @Test
    void aLongTableListsUnhealthyRowsFirst() throws IOException {
        try (FakeDaemon large = FakeDaemon.open().on(STATUS, json(Samples.manyEntries(60)))) {
            String brief = Run.of("status", "--endpoint", large.endpoint()).out();
            assertThat(brief, containsString("ENTRIES: 59 live, 1 silent\n"));
            assertThat(brief, containsString("STATE\nentry-60  surat  7              silent\n"));
            assertThat(brief, containsString("... and 10 more; --all shows them\n"));
            String full =
                    Run.of("status", "--all", "--endpoint", large.endpoint()).out();
            assertThat(full.lines().count(), is(brief.lines().count() + 9));
        }
    }

    @Test
    void jsonReadsBackAsTheAnswer() throws IOException {
        Run run = run("status --json");
        assertThat(Json.MAPPER.readValue(run.out(), ClusterStatus.class), is(Samples.status(Optional.of(1L))));
    }

    @Test
    void optionsMayPrecedeTheCommand() {
        Run run = Run.of("--json", "--endpoint", daemon.endpoint(), "job", "list", "--state", "placed");
        assertThat(run.exitCode(), is(0));
        assertThat(run.out(), startsWith("[ {"));
    }

    @Test
    void statusWithoutALeaderIsExitCode4() throws IOException {
        try (FakeDaemon alone = FakeDaemon.open().on(STATUS, json(Samples.status(Optional.empty())))) {
            Run run = Run.of("status", "--endpoint", alone.endpoint());
            assertThat(run.exitCode(), is(4));
            assertThat(run.out(), startsWith("leader         none; start the missing control hosts"));
        }
    }

    @Test
    void membersWithoutALeaderIsExitCode4() throws IOException {
        MemberView alone =
                new MemberView(2, "10.0.0.2:72", true, MemberState.UNKNOWN, Optional.empty(), Optional.empty());
        try (FakeDaemon withoutLeader = FakeDaemon.open().on("GET /v1/members", json(List.of(alone)))) {
            Run run = Run.of("members", "--endpoint", withoutLeader.endpoint());
            assertThat(run.exitCode(), is(4));
            assertThat(run.out(), containsString("unknown"));
        }
    }

    @Test
    void aRequestIsExplainedByEachEntryThatKnowsIt() {
        assertThat(
                run("explain request r/1").out(),
                is("entry e1\n  queued\n  forwarded to e2\nentry e2\n  dispatched\nanswered: e1, e2\n"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "true  | PARTIAL: no answer of e2: no answer within 2000 ms",
                "false | PARTIAL: no leader listed the other entries; ask each of them by --endpoint",
            })
    void aPartialAnswerIsMarkedAndIsExitCode10(boolean entriesKnown, String shown) throws IOException {
        List<EntryGap> gaps =
                entriesKnown ? List.of(new EntryGap(EntryId.of("e2"), "no answer within 2000 ms")) : List.of();
        Coverage part = new Coverage(List.of(EntryId.of("e1")), gaps, List.of(EntryId.of("e3")), entriesKnown);
        try (FakeDaemon one = FakeDaemon.open()
                .on("GET /v1/histograms", json(new ClusterHistograms(HISTOGRAMS, part)))
                .on("GET /v1/explain/requests/r", json(new RequestExplanation(List.of(), part)))) {
            for (String command : List.of("histograms", "explain request r")) {
                Run run = Run.of((command + " --endpoint " + one.endpoint()).split(" "));
                assertThat(run.exitCode(), is(10));
                assertThat(run.out(), containsString("answered: e1\n" + shown));
                assertThat(run.out(), containsString("not asked, being silent: e3\n"));
            }
        }
    }

    @Test
    void theSameJobGetsTheSameId() {
        String submit = "job submit --team payouts --task run --cpu 4 --memory 8GiB --payload ";
        assertThat(run(submit + "x").exitCode(), is(0));
        run(submit + "x");
        run(submit + "y");
        List<String> received = daemon.received();
        assertThat(received.get(0), startsWith("POST /v1/jobs {\"id\":\"job-"));
        assertThat(received.get(1), is(received.get(0)));
        assertThat(received.get(2).equals(received.get(0)), is(false));
    }

    @Test
    void aJobOfAFileIsTheSameAsOneOfFlags() {
        run("job submit --file src/test/resources/job.yaml");
        run("job submit --team payouts --task run --cpu 500m --memory 8GiB --declared-run 40m --urgent --payload x");
        assertThat(daemon.received().get(1), is(daemon.received().get(0)));
    }

    @Test
    void aRefusalIsShownWithItsNumber() {
        daemon.on("GET /v1/jobs/b", error(404, ErrorKind.JOB_UNKNOWN, "b"));
        Run run = run("job show b");
        assertThat(run.exitCode(), is(1));
        assertThat(run.err(), is("error(504): no job b; 'job list' shows those that exist\n"));
        assertThat(daemon.received(), hasItem("GET /v1/jobs/b"));
    }

    private Run run(String command) {
        return Run.of((command + " --endpoint " + daemon.endpoint()).split(" "));
    }
}
