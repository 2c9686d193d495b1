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
        private WorkerOrders last;

        private Cluster() {
            leader.leadershipGained();
        }

        private CompletableFuture<Outcome> commit(Command command) {
            byte[] outcome = state.apply(++index, Codec.encode(command));
            return CompletableFuture.completedFuture(Codec.decode(outcome, Outcome.class));
        }

        private String orders() {
            List<String> lines = new ArrayList<>();
            last.orders()
                    .forEach(order -> lines.add(order.action() + " " + order.attempt()
                            + (order.spec().isPresent() ? " with spec" : "")
                            + order.checkpoint().map(name -> " from " + name).orElse("")));
            return String.join(", ", lines);
        }
    }

    private static Consumer<Cluster> heartbeat(
            long incarnation, long cpuMillicores, boolean leaving, AttemptReport... all) {
        return cluster -> cluster.last = cluster.leader
                .workerHeartbeat(new WorkerHeartbeat(
                        HostId.of("h"),
                        incarnation,
                        "z",
                        "r",
                        Resources.of(cpuMillicores, 100, 0),
                        leaving,
                        List.of(all)))
                .join();
    }

    private static Consumer<Cluster> heartbeat(AttemptReport... all) {
        return heartbeat(1, 2_000, false, all);
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

    private static AttemptReport runs(String job, int attempt, long usedCpuMillicores) {
        return report(job, attempt, usedCpuMillicores, Optional.empty(), Optional.empty());
    }

    private static AttemptReport usesMemory(String job, long bytes) {
        return AttemptReport.of(AttemptId.of(JobId.of(job), 1), 0, bytes, 0, Optional.empty(), Optional.empty(), "");
    }

    private static AttemptReport ended(String job, int attempt, AttemptEnd end, String checkpoint) {
        return report(job, attempt, 0, Optional.of(checkpoint), Optional.of(end));
    }

    private static AttemptReport report(
            String job, int attempt, long used, Optional<String> checkpoint, Optional<AttemptEnd> end) {
        return AttemptReport.of(AttemptId.of(JobId.of(job), attempt), used, 0, 0, checkpoint, end, "");
    }

    private static Arguments given(String name, String expected, List<Consumer<Cluster>> actions) {
        return arguments(name, expected, actions);
    }

    static Stream<Arguments> cases() {
        Consumer<Cluster> batch = submit("b", JobKind.BATCH);
        Consumer<Cluster> restarts = advance(100);
        AttemptReport evicted = ended("b", 1, AttemptEnd.EVICTED, "c7");
        return Stream.of(
                given(
                        "a placed attempt is to be started",
                        "RUN b#1 with spec",
                        List.of(heartbeat(), batch, advance(50), heartbeat())),
                given(
                        "a running one goes on",
                        "RUN b#1",
                        List.of(heartbeat(), batch, advance(50), heartbeat(runs("b", 1, 0)))),
                given(
                        "a recorded end is forgotten, and the job resumes from its checkpoint",
                        "RUN b#2 with spec from c7",
                        List.of(heartbeat(), batch, advance(50), heartbeat(evicted), restarts, heartbeat())),
                given(
                        "an end is acknowledged at once",
                        "FORGET b#1",
                        List.of(heartbeat(), batch, advance(50), heartbeat(evicted))),
                given("an unknown attempt is stopped", "STOP x#3", List.of(heartbeat(runs("x", 3, 0)))),
                given(
                        "a cancelled attempt is stopped",
                        "STOP b#1",
                        List.of(heartbeat(), batch, advance(50), cancel("b"), heartbeat(runs("b", 1, 0)))),
                given(
                        "its end frees the worker",
                        "FORGET b#1",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                cancel("b"),
                                heartbeat(ended("b", 1, AttemptEnd.FAILED, "")))),
                given(
                        "a leaving worker evicts what runs and starts nothing",
                        "EVICT b#1",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(1, 2_000, true, runs("b", 1, 0)))),
                given(
                        "an older start stops everything",
                        "STOP b#1",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                heartbeat(2, 2_000, false),
                                heartbeat(runs("b", 1, 0)))),
                given(
                        "what a new start doesn't report is run again",
                        "RUN b#2 with spec",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                heartbeat(2, 2_000, false),
                                restarts,
                                heartbeat(2, 2_000, false))),
                given(
                        "batch work beside a service is throttled on a full worker, and until there is room",
                        "THROTTLE b#1, RUN s#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("s", JobKind.SERVICE),
                                advance(50),
                                heartbeat(runs("b", 1, 1_000), runs("s", 1, 950)),
                                heartbeat(runs("b", 1, 700), runs("s", 1, 950)))),
                given(
                        "batch work alone runs on at full rate",
                        "RUN b#1, RUN c#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(runs("b", 1, 1_000), runs("c", 1, 990)))),
                given(
                        "throttled work comes back once the worker was calm for three seconds",
                        "RUN b#1, RUN s#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("s", JobKind.SERVICE),
                                advance(50),
                                heartbeat(runs("b", 1, 1_000), runs("s", 1, 950)),
                                advance(1_000),
                                heartbeat(runs("b", 1, 250), runs("s", 1, 300)),
                                advance(3_000),
                                heartbeat(runs("b", 1, 250), runs("s", 1, 300)))),
                given(
                        "what was throttled in vain for ten seconds is evicted",
                        "EVICT b#1, RUN s#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("s", JobKind.SERVICE),
                                advance(50),
                                heartbeat(runs("b", 1, 500), runs("s", 1, 1_800)),
                                advance(5_000),
                                heartbeat(runs("b", 1, 200), runs("s", 1, 1_800)),
                                advance(5_000),
                                heartbeat(runs("b", 1, 200), runs("s", 1, 1_800)))),
                given(
                        "a worker short of memory evicts what is above its size",
                        "EVICT b#1, RUN c#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(usesMemory("b", 95), usesMemory("c", 1)))),
                given(
                        "a worker that shrank evicts",
                        "EVICT b#1, RUN c#1",
                        List.of(
                                heartbeat(),
                                batch,
                                submit("c", JobKind.BATCH),
                                advance(50),
                                heartbeat(runs("b", 1, 0), runs("c", 1, 0)),
                                heartbeat(1, 1_000, false, runs("b", 1, 0), runs("c", 1, 0)),
                                advance(50),
                                heartbeat(1, 1_000, false, runs("b", 1, 0), runs("c", 1, 0)))),
                given(
                        "an attempt declared over is never renewed",
                        "RUN b#2 with spec",
                        List.of(
                                heartbeat(),
                                batch,
                                advance(50),
                                heartbeat(),
                                advance(50),
                                advance(6_200),
                                heartbeat(),
                                restarts,
                                heartbeat())));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void workerReceivesOrders(String name, String expected, List<Consumer<Cluster>> actions) {
        Cluster cluster = new Cluster();
        actions.forEach(action -> action.accept(cluster));
        assertThat(name, cluster.orders(), is(expected));
    }

    @Test
    void commandsOfTheLeaderAreRefusedFromOthers() {
        Command place = new PlaceAttempt(AttemptId.of(JobId.of("b"), 1), HostId.of("h"));
        assertThat(new Cluster().leader.execute(place).join(), is(instanceOf(Refused.class)));
    }
}
