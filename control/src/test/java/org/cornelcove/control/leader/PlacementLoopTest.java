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
    private static final int WORKERS = 45;
    private static final BatchRule NO_RESERVE = new BatchRule(0, 60, 4, 10);

    private final ControlState state = ControlState.create();
    private final WorkerBoard workers = new WorkerBoard();
    private final PlacementLoop loop = new PlacementLoop(workers, new LeaderCounters());
    private long index;
    private long nowMs;

    private Outcome apply(Command command) {
        return Codec.decode(state.apply(++index, Codec.encode(command)), Outcome.class);
    }

    private void gainLeadership() {
        workers.reset(nowMs);
        state.read(tables -> {
            loop.reset(tables, nowMs);
            return null;
        });
    }

    private void proposeRules(BatchRule batch) {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        teams.put("red", new TeamRule("red", Resources.of(3_000, 100, 0), 2));
        teams.put("blue", new TeamRule("blue", Resources.of(90_000, 100, 0), 1));
        RuleSet rules = new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, batch);
        apply(new ProposeConfiguration(index + 1, "test", "digest", rules));
    }

    private void registerWorker(String host, long millicores, AttemptReport... reports) {
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

    private void submitBatch(String... jobs) {
        Stream.of(jobs).forEach(job -> submit(job, job.startsWith("r") ? "red" : "blue", JobKind.BATCH, false));
    }

    private static AttemptReport runningReport(String job) {
        return AttemptReport.of(AttemptId.of(JobId.of(job), 1), 0, 0, 0, Optional.empty(), Optional.empty(), "");
    }

    private List<Command> dueCommands() {
        return state.read(tables -> loop.due(tables, nowMs));
    }

    /** Applies what is due and returns it as text. */
    private List<String> applyDueCommands() {
        List<String> lines = new ArrayList<>();
        for (Command command : dueCommands()) {
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

    private void endAttempt(String job, int attempt, AttemptEnd end) {
        apply(new EndAttempt(AttemptId.of(JobId.of(job), attempt), end, Optional.empty(), ""));
    }

    private static Arguments testCase(String name, Consumer<PlacementLoopTest> actions, String... expected) {
        return arguments(name, actions, List.of(expected));
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                testCase(
                        "urgent jobs are placed first; a job that does not fit waits",
                        test -> {
                            test.registerWorker("h", 1_000);
                            test.submitBatch("a");
                            test.submit("u", "blue", JobKind.BATCH, true);
                        },
                        "u#1 h"),
                testCase(
                        "the team that holds least for its weight is next, within its quota",
                        test -> {
                            test.registerWorker("h", 6_000);
                            test.submitBatch("r1", "r2", "r3", "r4", "b1", "b2", "b3");
                        },
                        "b1#1 h",
                        "r1#1 h",
                        "r2#1 h",
                        "b2#1 h",
                        "r3#1 h",
                        "b3#1 h"),
                testCase(
                        "a failed job is placed on another worker that could hold it",
                        test -> {
                            test.registerWorker("h", 1_000);
                            test.submitBatch("a");
                            test.applyDueCommands();
                            test.registerWorker("i", 2_000);
                            test.endAttempt("a", 1, AttemptEnd.FAILED);
                        },
                        "a#2 i"),
                testCase(
                        "a failed job is placed on another worker also by the next leader",
                        test -> {
                            test.registerWorker("h", 1_000);
                            test.submitBatch("a");
                            test.applyDueCommands();
                            test.endAttempt("a", 1, AttemptEnd.FAILED);
                            test.gainLeadership();
                            test.registerWorker("h", 1_000);
                            test.registerWorker("i", 2_000);
                        },
                        "a#2 i"),
                testCase(
                        "a failed job is placed on the same worker if no other could hold it",
                        test -> {
                            test.registerWorker("h", 1_000);
                            test.registerWorker("i", 500);
                            test.submitBatch("a");
                            test.applyDueCommands();
                            test.endAttempt("a", 1, AttemptEnd.FAILED);
                        },
                        "a#2 h"),
                testCase(
                        "a requeued job is placed before jobs that have not run",
                        test -> {
                            test.registerWorker("h", 1_000);
                            test.submitBatch("a", "b");
                            test.applyDueCommands();
                            test.endAttempt("a", 1, AttemptEnd.LOST);
                        },
                        "a#2 h"),
                testCase(
                        "a job that no longer fits on any worker is rejected",
                        test -> {
                            test.registerWorker("h", 1_000);
                            test.submitBatch("a", "b");
                            test.applyDueCommands();
                            test.endAttempt("a", 1, AttemptEnd.FINISHED);
                            test.registerWorker("h", 999);
                        },
                        "reject b"),
                testCase(
                        "the quota includes attempts placed by an earlier leader",
                        test -> {
                            test.registerWorker("h", 9_000);
                            test.submitBatch("r1", "r2", "r3", "r4");
                            test.apply(new PlaceAttempt(AttemptId.of(JobId.of("r2"), 1), HostId.of("h")));
                        },
                        "r1#1 h",
                        "r3#1 h"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void jobsArePlaced(String name, Consumer<PlacementLoopTest> actions, List<String> expected) {
        proposeRules(NO_RESERVE);
        gainLeadership();
        actions.accept(this);
        assertThat(name, applyDueCommands(), is(expected));
    }

    @Test
    void servicesSpreadOverAvailabilityZones() {
        proposeRules(NO_RESERVE);
        gainLeadership();
        registerWorker("a", 9_000);
        registerWorker("b", 9_000);
        registerWorker("c", 9_000);
        Map<String, Integer> count = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            Resources amount = Resources.of(1_000, 1, 0);
            apply(new SubmitJob(new JobSpec(JobId.of("s" + i), "blue", JobKind.SERVICE, "site", amount, 1, false, "")));
        }
        applyDueCommands().forEach(line -> count.merge(line.substring(line.length() - 1), 1, Integer::sum));
        assertThat(count, is(Map.of("a", 2, "b", 2, "c", 2)));
    }

    /** The reservation of a refused or unanswered decision is released, so that its resources can be used again. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void reservationOfFailedDecisionIsReleased(boolean refused) {
        proposeRules(NO_RESERVE);
        gainLeadership();
        registerWorker("h", 1_000);
        registerWorker("i", 1_000);
        submitBatch("a");
        PlaceAttempt first = (PlaceAttempt) dueCommands().get(0);
        assertThat("decision in flight", dueCommands(), is(empty()));
        if (refused) {
            submitBatch("x");
            apply(new PlaceAttempt(AttemptId.of(JobId.of("x"), 1), first.host()));
            apply(first);
        }
        loop.decisionCompleted(JobId.of("a"));
        List<String> again = applyDueCommands();
        assertThat(again, hasSize(1));
        assertThat(
                again.get(0).endsWith(first.host().value()),
                is(!refused && again.get(0).equals("a#1 " + first.host())));
        submitBatch("b");
        assertThat("all cores are used", applyDueCommands(), hasSize(refused ? 0 : 1));
    }

    /** A command whose outcome was lost is applied after the reservation of its decision was released. */
    @Test
    void reservationOfLateCommandIsRestored() {
        proposeRules(NO_RESERVE);
        gainLeadership();
        registerWorker("h", 2_000);
        submitBatch("a");
        PlaceAttempt late = (PlaceAttempt) dueCommands().get(0);
        loop.decisionCompleted(JobId.of("a"));
        dueCommands();
        apply(late);
        submitBatch("b", "c");
        assertThat(applyDueCommands(), is(List.of("b#1 h")));
    }

    @ParameterizedTest
    @CsvSource({
        "FAILED, 10, 0",
        "FAILED, 0, 1",
        "LOST, 10, 2147483647",
        "EVICTED, 10, 2147483647",
        "FINISHED, 10, 2147483647"
    })
    void onlyFailuresOfDistinctJobsQuarantineAWorker(AttemptEnd end, int quarantinePercent, int maxAttempts) {
        proposeRules(new BatchRule(0, 60, 4, quarantinePercent));
        gainLeadership();
        IntStream.range(0, WORKERS).forEach(i -> registerWorker("w" + i, 2_000));
        for (int i = 0; i < 3; i++) {
            submitBatch("j" + i);
            apply(new PlaceAttempt(AttemptId.of(JobId.of("j" + i), 1), HostId.of("w0")));
            dueCommands();
            endAttempt("j" + i, 1, end);
            state.read(tables -> loop.due(tables, nowMs));
        }
        assertThat(loop.maxAttempts(HostId.of("w0"), nowMs), is(maxAttempts));
    }

    /** After the loss of a zone, requeued jobs start at the rate of the first second; urgent ones start immediately. */
    @Test
    void startsOfManyRequeuedJobsArePaced() {
        proposeRules(NO_RESERVE);
        gainLeadership();
        IntStream.range(0, 20).forEach(i -> registerWorker("w" + i, 4_000));
        IntStream.range(0, 60).forEach(i -> submitBatch("b" + i));
        submit("u", "blue", JobKind.BATCH, true);
        submit("v", "blue", JobKind.BATCH, true);
        int started = applyDueCommands().size() + applyDueCommands().size();
        assertThat(started, is(62));
        IntStream.range(0, 60).forEach(i -> endAttempt("b" + i, 1, AttemptEnd.LOST));
        endAttempt("u", 1, AttemptEnd.LOST);
        endAttempt("v", 1, AttemptEnd.LOST);
        assertThat(applyDueCommands(), hasSize(2));
        int firstSecond = 2;
        for (nowMs = 50; nowMs < 1_000; nowMs += 50) {
            IntStream.range(0, 20).forEach(i -> registerWorker("w" + i, 4_000));
            firstSecond += applyDueCommands().size();
        }
        assertThat(firstSecond, is(lessThanOrEqualTo(5)));
    }

    @Test
    void silentWorkerReceivesNoAttempt() {
        proposeRules(NO_RESERVE);
        gainLeadership();
        registerWorker("h", 1_000);
        submitBatch("a");
        nowMs += Leases.WORKER_SILENCE_MS + 1;
        assertThat(applyDueCommands(), is(empty()));
        registerWorker("h", 1_000);
        assertThat(applyDueCommands(), is(List.of("a#1 h")));
    }

    @Test
    void onlyReportedAttemptsAreEvictedWithinBudget() {
        proposeRules(new BatchRule(0, 1, 4, 10));
        gainLeadership();
        registerWorker("h", 2_000);
        submitBatch("a", "b");
        applyDueCommands();
        submit("u", "blue", JobKind.BATCH, true);
        submit("v", "blue", JobKind.BATCH, true);
        applyDueCommands();
        assertThat("not yet reported", evictingAmong("a", "b"), is(empty()));
        registerWorker("h", 2_000, runningReport("a"), runningReport("b"));
        applyDueCommands();
        assertThat("one eviction per minute", evictingAmong("a", "b"), hasSize(1));
    }

    /**
     * A slowdown measured 3 s ago is attributed to the work that ran then, not to what runs now. A task that slows the
     * service down too much is not placed there again.
     */
    @ParameterizedTest
    @CsvSource({"100, 1", "200, 0", "0, 1"})
    void slowdownIsAttributedToPlacementAtMeasurement(int slowdownPercent, int placed) {
        proposeRules(NO_RESERVE);
        gainLeadership();
        registerWorker("h", 8_000);
        submit("s", "blue", JobKind.SERVICE, false);
        submitBatch("a");
        applyDueCommands();
        AttemptId service = AttemptId.of(JobId.of("s"), 1);
        for (int i = 0; i < 20; i++) {
            nowMs += 3_000;
            if (i == 19) {
                endAttempt("a", 1, AttemptEnd.FINISHED);
                applyDueCommands();
            }
            reportMeasurement(
                    "h",
                    new AttemptReport(service, 900, 0, slowdownPercent, 3_000, Optional.empty(), Optional.empty(), ""));
        }
        Resources amount = Resources.of(1_000, 1, 0);
        apply(new SubmitJob(new JobSpec(JobId.of("b"), "blue", JobKind.BATCH, "task-a", amount, 1, false, "")));
        apply(new SubmitJob(new JobSpec(JobId.of("c"), "blue", JobKind.BATCH, "task-c", amount, 1, false, "")));
        assertThat(applyDueCommands(), hasSize(1 + placed));
    }

    /** A measurement that is reported repeatedly for seven seconds counts once. */
    @Test
    void repeatedMeasurementIsCountedOnce() {
        proposeRules(NO_RESERVE);
        gainLeadership();
        registerWorker("h", 8_000);
        submit("s", "blue", JobKind.SERVICE, false);
        submitBatch("a");
        applyDueCommands();
        AttemptId service = AttemptId.of(JobId.of("s"), 1);
        for (int ageMs = 0; ageMs < 7_000; ageMs += 350) {
            reportMeasurement(
                    "h", new AttemptReport(service, 900, 0, 200, ageMs, Optional.empty(), Optional.empty(), ""));
            nowMs += 350;
        }
        Resources amount = Resources.of(1_000, 1, 0);
        apply(new SubmitJob(new JobSpec(JobId.of("b"), "blue", JobKind.BATCH, "task-a", amount, 1, false, "")));
        assertThat(applyDueCommands(), is(List.of("b#1 h")));
    }

    private void reportMeasurement(String host, AttemptReport... reports) {
        registerWorker(host, 8_000, reports);
        WorkerHeartbeat heartbeat = new WorkerHeartbeat(
                HostId.of(host), 1, "z-" + host, "r", Resources.of(8_000, 100, 0), false, List.of(reports));
        state.read(tables -> {
            loop.measured(heartbeat, tables, nowMs);
            return null;
        });
    }

    private List<String> evictingAmong(String... jobs) {
        return Stream.of(jobs)
                .filter(job -> workers.isEvicting(AttemptId.of(JobId.of(job), 1)))
                .toList();
    }
}
