package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.wire.Codec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** The orders that a worker receives from a leader whose proposals are committed immediately. */
class OrdersTest {
    private static final class Cluster {
        private final ControlState state = ControlState.create();
        private final ControlLeader leader = ControlLeader.create(
                state, () -> this.nowMs, this::commit, () -> CompletableFuture.completedFuture(0L));
        private long nowMs = 1_000;
        private long index;
        private WorkerOrders lastOrders;

        private Cluster() {
            leader.leadershipGained(1);
        }

        private CompletableFuture<Outcome> commit(long term, Command command) {
            byte[] outcome = state.apply(++index, Codec.encode(command));
            return CompletableFuture.completedFuture(Codec.decode(outcome, Outcome.class));
        }

        private String orders() {
            List<String> lines = new ArrayList<>();
            lastOrders
                    .orders()
                    .forEach(order -> lines.add(order.action() + " " + order.attempt()
                            + (order.spec().isPresent() ? " with spec" : "")
                            + order.checkpoint().map(name -> " from " + name).orElse("")));
            return String.join(", ", lines);
        }
    }

    private static Consumer<Cluster> heartbeat(
            long incarnation, long cpuMillicores, boolean leaving, AttemptReport... reports) {
        return cluster -> cluster.lastOrders = cluster.leader
                .workerHeartbeat(new WorkerHeartbeat(
                        HostId.of("h"),
                        incarnation,
                        "z",
                        "r",
                        Resources.of(cpuMillicores, 100, 0),
                        leaving,
                        List.of(reports)))
                .join();
    }

    private static Consumer<Cluster> heartbeat(AttemptReport... reports) {
        return heartbeat(1, 2_000, false, reports);
    }

    /** Runs the job on each of a number of incarnations of the worker, which then restarts without a word. */
    private static Consumer<Cluster> crashes(String job, int incarnations, long aliveMs) {
        return cluster -> {
            for (int incarnation = 1; incarnation <= incarnations; incarnation++) {
                AttemptReport running = runningReport(job, incarnation, 0);
                heartbeat(incarnation, 2_000, false).accept(cluster);
                heartbeat(incarnation, 2_000, false, running).accept(cluster);
                cluster.nowMs += aliveMs;
                heartbeat(incarnation, 2_000, false, running).accept(cluster);
                heartbeat(incarnation + 1, 2_000, false).accept(cluster);
                advance(100).accept(cluster);
            }
            heartbeat(incarnations + 1, 2_000, false).accept(cluster);
        };
    }

    private static Consumer<Cluster> submit(String job, JobKind kind) {
        JobSpec spec = new JobSpec(JobId.of(job), "red", kind, "t", Resources.of(800, 1, 0), 1, false, "");
        return cluster -> cluster.leader.execute(new SubmitJob(spec)).join();
    }

    private static Consumer<Cluster> advance(long ms) {
        return cluster -> {
            cluster.nowMs += ms;
            cluster.leader.tick();
        };
    }

    private static Consumer<Cluster> cancel(String job) {
        return cluster -> cluster.leader.execute(new CancelJob(JobId.of(job))).join();
    }

    private static AttemptReport runningReport(String job, int attempt, long usedCpuMillicores) {
        return report(job, attempt, usedCpuMillicores, Optional.empty(), Optional.empty());
    }

    private static AttemptReport memoryReport(String job, long bytes) {
        return AttemptReport.of(AttemptId.of(JobId.of(job), 1), 0, bytes, 0, Optional.empty(), Optional.empty(), "");
    }

    private static AttemptReport endReport(String job, int attempt, AttemptEnd end, String checkpoint) {
        return report(job, attempt, 0, Optional.of(checkpoint), Optional.of(end));
    }

    private static AttemptReport report(
            String job, int attempt, long used, Optional<String> checkpoint, Optional<AttemptEnd> end) {
        return AttemptReport.of(AttemptId.of(JobId.of(job), attempt), used, 0, 0, checkpoint, end, "");
    }

    private static Arguments testCase(String name, String expected, List<Consumer<Cluster>> actions) {
        return arguments(name, expected, actions);
    }

    static Stream<Arguments> crashCases() {
        Consumer<Cluster> batch = submit("b", JobKind.BATCH);
        return Stream.of(
                testCase(
                        "a job that crashed its worker is tried again",
                        "RUN b#3 with spec",
                        List.of(heartbeat(), batch, advance(50), crashes("b", 2, 500))),
                testCase(
                        "a job that crashed its worker in all its attempts is given up",
                        "",
                        List.of(heartbeat(), batch, advance(50), crashes("b", BatchRule.DEFAULT.maxAttempts(), 500))),
                testCase(
                        "a job that ran for long before each crash is not to blame",
                        "RUN b#5 with spec",
                        List.of(heartbeat(), batch, advance(50), crashes("b", 4, 5_000))));
    }

    static Stream<Arguments> cases() {
        Consumer<Cluster> batch = submit("b", JobKind.BATCH);
        Consumer<Cluster> nextTick = advance(100);
        AttemptReport evicted = endReport("b", 1, AttemptEnd.EVICTED, "c7");
        return Stream.of(
                testCase(
                        "a placed attempt is started",
                        "RUN b#1 with spec",
                        List.of(heartbeat(), batch, advance(50), heartbeat())),
                testCase(
                        "a running attempt continues",
                        "RUN b#1",
                        List.of(heartbeat(), batch, advance(50), heartbeat(runningReport("b", 1, 0)))),
                testCase(
                        "an evicted attempt ends, and its job resumes from its checkpoint",
                        "RUN b#2 with spec from c7",
                        List.of(heartbeat(), batch, advance(50), heartbeat(evicted), nextTick, heartbeat())),
                testCase(
                        "the end of an attempt is acknowledged in the same response",
                        "FORGET b#1",
                        List.of(heartbeat(), batch, advance(50), heartbeat(evicted))),
                testCase("an unknown attempt is stopped", "STOP x#3", List.of(heartbeat(runningReport("x", 3, 0)))),
                testCase(
                        "a cancelled attempt is stopped",
                        "STOP b#1",
                        List.of(heartbeat(), batch, advance(50), cancel("b"), heartbeat(runningReport("b", 1, 0)))),
                testCase(
                        "the end of a cancelled attempt is acknowledged",
                        "FORGET b#1",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                cancel("b"),
                                heartbeat(endReport("b", 1, AttemptEnd.FAILED, "")))),
                testCase(
                        "a leaving worker evicts running attempts and starts none",
                        "EVICT b#1",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(1, 2_000, true, runningReport("b", 1, 0)))),
                testCase(
                        "a heartbeat of an older incarnation stops all attempts",
                        "STOP b#1",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                heartbeat(2, 2_000, false),
                                heartbeat(runningReport("b", 1, 0)))),
                testCase(
                        "an attempt that a new incarnation does not report is requeued",
                        "RUN b#2 with spec",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                heartbeat(2, 2_000, false),
                                nextTick,
                                heartbeat(2, 2_000, false))),
                testCase(
                        "batch work next to a service is throttled on a full worker until there is room",
                        "THROTTLE b#1, RUN s#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("s", JobKind.SERVICE),
                                advance(50),
                                heartbeat(runningReport("b", 1, 1_000), runningReport("s", 1, 950)),
                                heartbeat(runningReport("b", 1, 700), runningReport("s", 1, 950)))),
                testCase(
                        "batch work without a service on the worker is not throttled",
                        "RUN b#1, RUN c#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(runningReport("b", 1, 1_000), runningReport("c", 1, 990)))),
                testCase(
                        "throttling ends after three seconds of low load",
                        "RUN b#1, RUN s#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("s", JobKind.SERVICE),
                                advance(50),
                                heartbeat(runningReport("b", 1, 1_000), runningReport("s", 1, 950)),
                                advance(1_000),
                                heartbeat(runningReport("b", 1, 250), runningReport("s", 1, 300)),
                                advance(3_000),
                                heartbeat(runningReport("b", 1, 250), runningReport("s", 1, 300)))),
                testCase(
                        "work whose throttling does not relieve the worker is evicted after ten seconds",
                        "EVICT b#1, RUN s#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("s", JobKind.SERVICE),
                                advance(50),
                                heartbeat(runningReport("b", 1, 500), runningReport("s", 1, 1_800)),
                                advance(5_000),
                                heartbeat(runningReport("b", 1, 200), runningReport("s", 1, 1_800)),
                                advance(5_000),
                                heartbeat(runningReport("b", 1, 200), runningReport("s", 1, 1_800)))),
                testCase(
                        "a worker short of memory evicts attempts above their requested memory",
                        "EVICT b#1, RUN c#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(memoryReport("b", 95), memoryReport("c", 1)))),
                testCase(
                        "a worker whose capacity decreased evicts",
                        "EVICT b#1, RUN c#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(runningReport("b", 1, 0), runningReport("c", 1, 0)),
                                heartbeat(1, 1_000, false, runningReport("b", 1, 0), runningReport("c", 1, 0)),
                                advance(50),
                                heartbeat(1, 1_000, false, runningReport("b", 1, 0), runningReport("c", 1, 0)))),
                testCase(
                        "the lease of an attempt declared lost is never renewed",
                        "RUN b#2 with spec",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                heartbeat(),
                                advance(50),
                                advance(6_200),
                                heartbeat(),
                                nextTick,
                                heartbeat())));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({"cases", "crashCases"})
    void workerReceivesOrders(String name, String expected, List<Consumer<Cluster>> actions) {
        Cluster cluster = new Cluster();
        actions.forEach(action -> action.accept(cluster));
        assertThat(name, cluster.orders(), is(expected));
    }

    @Test
    void leaderCommandsAreRefusedFromClients() {
        Command place = new PlaceAttempt(AttemptId.of(JobId.of("b"), 1), HostId.of("h"));
        assertThat(new Cluster().leader.execute(place).join(), is(instanceOf(Refused.class)));
    }
}
