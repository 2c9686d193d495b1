package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.command.RejectJob;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** The placement policy with a real durable state: the decisions, and how their outcomes are handled. */
class PlacementLoopTest {
    private static final int FLEET = 45;
    private static final BatchRule NO_RESERVE = new BatchRule(0, 60, 4, 10);

    private final ControlState state = ControlState.create();
    private final WorkerBoard workers = new WorkerBoard();
    private final PlacementLoop loop = new PlacementLoop(workers, new LeaderCounters());
    private long index;
    private long nowMs;

    private Outcome apply(Command command) {
        return Codec.decode(state.apply(++index, Codec.encode(command)), Outcome.class);
    }

    private void gain() {
        workers.reset(nowMs);
        state.read(tables -> {
            loop.reset(tables, nowMs);
            return null;
        });
    }

    private void rules(BatchRule batch) {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        teams.put("red", new TeamRule("red", Resources.of(3_000, 100, 0), 2));
        teams.put("blue", new TeamRule("blue", Resources.of(90_000, 100, 0), 1));
        RuleSet rules = new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, batch);
        apply(new ProposeConfiguration(index + 1, "test", "digest", rules));
    }

    private void worker(String host, long millicores, AttemptReport... reports) {
        Resources capacity = Resources.of(millicores, 100, 0);
        apply(new RegisterWorker(HostId.of(host), 1, "z-" + host, "r", capacity));
        WorkerHeartbeat heartbeat =
                new WorkerHeartbeat(HostId.of(host), 1, "z-" + host, "r", capacity, false, List.of(reports));
        state.read(tables -> workers.recordHeartbeat(heartbeat, tables, nowMs)).forEach(this::apply);
    }

    private void submit(String job, String team, JobKind kind, boolean urgent) {
        Resources amount = Resources.of(1_000, 1, 0);
        apply(new SubmitJob(new JobSpec(JobId.of(job), team, kind, "task-" + job, amount, 1, urgent, "")));
    }

    private void batch(String... jobs) {
        Stream.of(jobs).forEach(job -> submit(job, job.startsWith("r") ? "red" : "blue", JobKind.BATCH, false));
    }

    private static AttemptReport runs(String job) {
        return AttemptReport.of(AttemptId.of(JobId.of(job), 1), 0, 0, 0, Optional.empty(), Optional.empty(), "");
    }

    private List<Command> due() {
        return state.read(tables -> loop.due(tables, nowMs));
    }

    /** Applies what is due and returns it as text. */
    private List<String> round() {
        List<String> lines = new ArrayList<>();
        for (Command command : due()) {
            apply(command);
            if (command instanceof PlaceAttempt place) {
                loop.decisionCompleted(place.attempt().job());
                lines.add(place.attempt() + " " + place.host());
            } else {
                loop.decisionCompleted(((RejectJob) command).job());
                lines.add("reject " + ((RejectJob) command).job());
            }
        }
        return lines;
    }

    private void end(String job, int attempt, AttemptEnd end) {
        apply(new EndAttempt(AttemptId.of(JobId.of(job), attempt), end, Optional.empty(), ""));
    }

    private static Arguments given(String name, Consumer<PlacementLoopTest> actions, String... expected) {
        return arguments(name, actions, List.of(expected));
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                given(
                        "urgent first, and what doesn't fit waits",
                        test -> {
                            test.worker("h", 1_000);
                            test.batch("a");
                            test.submit("u", "blue", JobKind.BATCH, true);
                        },
                        "u#1 h"),
                given(
                        "teams in turn by what they hold for their weight, within quotas",
                        test -> {
                            test.worker("h", 6_000);
                            test.batch("r1", "r2", "r3", "r4", "b1", "b2", "b3");
                        },
                        "b1#1 h",
                        "r1#1 h",
                        "r2#1 h",
                        "b2#1 h",
                        "r3#1 h",
                        "b3#1 h"),
                given(
                        "a failed job goes elsewhere while another worker could hold it",
                        test -> {
                            test.worker("h", 1_000);
                            test.batch("a");
                            test.round();
                            test.worker("i", 2_000);
                            test.end("a", 1, AttemptEnd.FAILED);
                        },
                        "a#2 i"),
                given(
                        "also under the next leader",
                        test -> {
                            test.worker("h", 1_000);
                            test.batch("a");
                            test.round();
                            test.end("a", 1, AttemptEnd.FAILED);
                            test.gain();
                            test.worker("h", 1_000);
                            test.worker("i", 2_000);
                        },
                        "a#2 i"),
                given(
                        "a failed job goes back where the other workers could never hold it",
                        test -> {
                            test.worker("h", 1_000);
                            test.worker("i", 500);
                            test.batch("a");
                            test.round();
                            test.end("a", 1, AttemptEnd.FAILED);
                        },
                        "a#2 h"),
                given(
                        "what ran before comes back first in its line",
                        test -> {
                            test.worker("h", 1_000);
                            test.batch("a", "b");
                            test.round();
                            test.end("a", 1, AttemptEnd.LOST);
                        },
                        "a#2 h"),
                given(
                        "a job that no worker could hold any more is rejected",
                        test -> {
                            test.worker("h", 1_000);
                            test.batch("a", "b");
                            test.round();
                            test.end("a", 1, AttemptEnd.FINISHED);
                            test.worker("h", 999);
                        },
                        "reject b"),
                given(
                        "the quota counts what an earlier leader placed",
                        test -> {
                            test.worker("h", 9_000);
                            test.batch("r1", "r2", "r3", "r4");
                            test.apply(new PlaceAttempt(AttemptId.of(JobId.of("r2"), 1), HostId.of("h")));
                        },
                        "r1#1 h",
                        "r3#1 h"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void jobsArePlaced(String name, Consumer<PlacementLoopTest> actions, List<String> expected) {
        rules(NO_RESERVE);
        gain();
        actions.accept(this);
        assertThat(name, round(), is(expected));
    }

    @Test
    void servicesSpreadOverAvailabilityZones() {
        rules(NO_RESERVE);
        gain();
        worker("a", 9_000);
        worker("b", 9_000);
        worker("c", 9_000);
        Map<String, Integer> count = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            Resources amount = Resources.of(1_000, 1, 0);
            apply(new SubmitJob(new JobSpec(JobId.of("s" + i), "blue", JobKind.SERVICE, "site", amount, 1, false, "")));
        }
        round().forEach(line -> count.merge(line.substring(line.length() - 1), 1, Integer::sum));
        assertThat(count, is(Map.of("a", 2, "b", 2, "c", 2)));
    }

    /** The reservation of a refused or unanswered decision is released, so that its resources can be used again. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void reservationOfFailedDecisionIsReleased(boolean refused) {
        rules(NO_RESERVE);
        gain();
        worker("h", 1_000);
        worker("i", 1_000);
        batch("a");
        PlaceAttempt first = (PlaceAttempt) due().get(0);
        assertThat("under way", due(), is(empty()));
        if (refused) {
            batch("x");
            apply(new PlaceAttempt(AttemptId.of(JobId.of("x"), 1), first.host()));
            apply(first);
        }
        loop.decisionCompleted(JobId.of("a"));
        List<String> again = round();
        assertThat(again, hasSize(1));
        assertThat(
                again.get(0).endsWith(first.host().value()),
                is(!refused && again.get(0).equals("a#1 " + first.host())));
        batch("b");
        assertThat("every core is used", round(), hasSize(refused ? 0 : 1));
    }

    /** A command whose outcome was lost is applied after the reservation of its decision was released. */
    @Test
    void lateCommandIsRestored() {
        rules(NO_RESERVE);
        gain();
        worker("h", 2_000);
        batch("a");
        PlaceAttempt late = (PlaceAttempt) due().get(0);
        loop.decisionCompleted(JobId.of("a"));
        due();
        apply(late);
        batch("b", "c");
        assertThat(round(), is(List.of("b#1 h")));
    }

    @ParameterizedTest
    @CsvSource({
        "FAILED, 10, 0",
        "FAILED, 0, 1",
        "LOST, 10, 2147483647",
        "EVICTED, 10, 2147483647",
        "FINISHED, 10, 2147483647"
    })
    void onlyFailuresOfDistinctJobsCloseAWorkerWithinTheRules(AttemptEnd end, int quarantinePercent, int most) {
        rules(new BatchRule(0, 60, 4, quarantinePercent));
        gain();
        IntStream.range(0, FLEET).forEach(i -> worker("w" + i, 2_000));
        for (int i = 0; i < 3; i++) {
            batch("j" + i);
            apply(new PlaceAttempt(AttemptId.of(JobId.of("j" + i), 1), HostId.of("w0")));
            due();
            end("j" + i, 1, end);
            state.read(tables -> loop.due(tables, nowMs));
        }
        assertThat(loop.maxAttempts(HostId.of("w0"), nowMs), is(most));
    }

    /** After the loss of a zone, requeued jobs start at the rate of the first second; urgent ones start immediately. */
    @Test
    void startsOfManyRequeuedJobsArePaced() {
        rules(NO_RESERVE);
        gain();
        IntStream.range(0, 20).forEach(i -> worker("w" + i, 4_000));
        IntStream.range(0, 60).forEach(i -> batch("b" + i));
        submit("u", "blue", JobKind.BATCH, true);
        submit("v", "blue", JobKind.BATCH, true);
        int started = round().size() + round().size();
        assertThat(started, is(62));
        IntStream.range(0, 60).forEach(i -> end("b" + i, 1, AttemptEnd.LOST));
        end("u", 1, AttemptEnd.LOST);
        end("v", 1, AttemptEnd.LOST);
        assertThat(round(), hasSize(2));
        int firstSecond = 2;
        for (nowMs = 50; nowMs < 1_000; nowMs += 50) {
            IntStream.range(0, 20).forEach(i -> worker("w" + i, 4_000));
            firstSecond += round().size();
        }
        assertThat(firstSecond, is(lessThanOrEqualTo(5)));
    }

    @Test
    void workerThatIsSilentGetsNothing() {
        rules(NO_RESERVE);
        gain();
        worker("h", 1_000);
        batch("a");
        nowMs += Leases.WORKER_SILENCE_MS + 1;
        assertThat(round(), is(empty()));
        worker("h", 1_000);
        assertThat(round(), is(List.of("a#1 h")));
    }

    @Test
    void onlyReportedAttemptsAreEvictedWithinBudget() {
        rules(new BatchRule(0, 1, 4, 10));
        gain();
        worker("h", 2_000);
        batch("a", "b");
        round();
        submit("u", "blue", JobKind.BATCH, true);
        submit("v", "blue", JobKind.BATCH, true);
        round();
        assertThat("not yet reported", evicting("a", "b"), is(empty()));
        worker("h", 2_000, runs("a"), runs("b"));
        round();
        assertThat("one a minute", evicting("a", "b"), hasSize(1));
    }

    /**
     * A slowdown measured 3 s ago is attributed to the work that ran then, not to what runs now. A task that slows the
     * service down too much is not placed there again.
     */
    @ParameterizedTest
    @CsvSource({"100, 1", "200, 0", "0, 1"})
    void slowdownIsAttributedToPlacementAtMeasurement(int slowdownPercent, int placed) {
        rules(NO_RESERVE);
        gain();
        worker("h", 8_000);
        submit("s", "blue", JobKind.SERVICE, false);
        batch("a");
        round();
        AttemptId service = AttemptId.of(JobId.of("s"), 1);
        for (int i = 0; i < 20; i++) {
            nowMs += 3_000;
            if (i == 19) {
                end("a", 1, AttemptEnd.FINISHED);
                round();
            }
            measured(
                    "h",
                    new AttemptReport(service, 900, 0, slowdownPercent, 3_000, Optional.empty(), Optional.empty(), ""));
        }
        Resources amount = Resources.of(1_000, 1, 0);
        apply(new SubmitJob(new JobSpec(JobId.of("b"), "blue", JobKind.BATCH, "task-a", amount, 1, false, "")));
        apply(new SubmitJob(new JobSpec(JobId.of("c"), "blue", JobKind.BATCH, "task-c", amount, 1, false, "")));
        assertThat(round(), hasSize(1 + placed));
    }

    /** A measurement that is reported repeatedly for seven seconds counts once. */
    @Test
    void sameMeasurementIsLearnedOnce() {
        rules(NO_RESERVE);
        gain();
        worker("h", 8_000);
        submit("s", "blue", JobKind.SERVICE, false);
        batch("a");
        round();
        AttemptId service = AttemptId.of(JobId.of("s"), 1);
        for (int ageMs = 0; ageMs < 7_000; ageMs += 350) {
            measured("h", new AttemptReport(service, 900, 0, 200, ageMs, Optional.empty(), Optional.empty(), ""));
            nowMs += 350;
        }
        Resources amount = Resources.of(1_000, 1, 0);
        apply(new SubmitJob(new JobSpec(JobId.of("b"), "blue", JobKind.BATCH, "task-a", amount, 1, false, "")));
        assertThat(round(), is(List.of("b#1 h")));
    }

    private void measured(String host, AttemptReport... reports) {
        worker(host, 8_000, reports);
        WorkerHeartbeat heartbeat = new WorkerHeartbeat(
                HostId.of(host), 1, "z-" + host, "r", Resources.of(8_000, 100, 0), false, List.of(reports));
        state.read(tables -> {
            loop.measured(heartbeat, tables, nowMs);
            return null;
        });
    }

    private List<String> evicting(String... jobs) {
        return Stream.of(jobs)
                .filter(job -> workers.isEvicting(AttemptId.of(JobId.of(job), 1)))
                .toList();
    }
}
