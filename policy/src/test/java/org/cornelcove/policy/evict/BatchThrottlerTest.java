package org.cornelcove.policy.evict;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.resource.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class BatchThrottlerTest {
    private static final HostId HOST = HostId.of("w1");
    private static final Resources CAPACITY = Resources.of(10_000, 1000, 0);

    static BatchAttempt attempt(String id, long millicores, long sinceCheckpointMs, boolean throttled) {
        return new BatchAttempt(
                AttemptId.of(JobId.of(id), 1), millicores, 100, 100, sinceCheckpointMs, false, throttled, 0);
    }

    static BatchAttempt memory(String id, long usedBytes, long sinceCheckpointMs) {
        return new BatchAttempt(AttemptId.of(JobId.of(id), 1), 100, usedBytes, 100, sinceCheckpointMs, false, false, 0);
    }

    static BatchAttempt disturbing(String id) {
        return new BatchAttempt(AttemptId.of(JobId.of(id), 1), 500, 100, 100, 0, false, false, 0.5);
    }

    static HostLoad load(long serviceMillicores, long atMs, BatchAttempt... batch) {
        return new HostLoad(HOST, CAPACITY, Resources.of(serviceMillicores, 0, 0), atMs, List.of(batch));
    }

    static List<String> text(List<BatchOrder> orders) {
        return orders.stream().map(o -> o.attempt().job() + " " + o.action()).toList();
    }

    static Stream<Arguments> firstOrders() {
        return Stream.of(
                arguments("calm", load(3000, 0, attempt("a", 2000, 0, false)), List.of()),
                arguments("batch work alone delays no service", load(0, 0, attempt("a", 10_000, 0, false)), List.of()),
                arguments(
                        "the smallest that suffices",
                        load(7000, 0, attempt("a", 2000, 0, false), attempt("b", 1500, 0, false)),
                        List.of("b THROTTLE")),
                arguments(
                        "the largest first if none suffices",
                        load(9000, 0, attempt("a", 1000, 0, false), attempt("b", 1500, 0, false)),
                        List.of("b THROTTLE", "a THROTTLE")),
                arguments(
                        "a disturbing attempt at any CPU use",
                        load(1000, 0, attempt("a", 2000, 0, false), disturbing("d")),
                        List.of("d THROTTLE")),
                arguments(
                        "short of memory: the one above its declared memory",
                        load(1000, 0, memory("a", 100, 0), memory("b", 950, 5000)),
                        List.of("b EVICT")),
                arguments(
                        "memory full with declared use",
                        new HostLoad(HOST, CAPACITY, Resources.of(10, 900, 0), 0, List.of(memory("a", 100, 0))),
                        List.of()),
                arguments(
                        "short of memory by its services",
                        new HostLoad(HOST, CAPACITY, Resources.of(10, 910, 0), 0, List.of(memory("a", 90, 0))),
                        List.of("a EVICT")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("firstOrders")
    void firstMeasurement(String name, HostLoad load, List<String> orders) {
        assertThat(text(BatchThrottler.of(EvictionBudget.of(60)).decide(load, 0)), is(orders));
    }

    @Test
    void evictsLeastLostWorkOnlyAfterThrottlingDidNotHelp() {
        BatchThrottler throttler = BatchThrottler.of(EvictionBudget.of(60));
        BatchAttempt expensive = attempt("expensive", 300, 50_000, true);
        BatchAttempt cheap = attempt("cheap", 300, 1000, true);
        assertThat(throttler.decide(load(9500, 0, expensive, cheap), 0), is(empty()));
        assertThat(throttler.isOpenForBatch(HOST), is(false));
        assertThat(throttler.decide(load(9500, 9999, expensive, cheap), 9999), is(empty()));
        assertThat(text(throttler.decide(load(9500, 10_000, expensive, cheap), 10_000)), is(List.of("cheap EVICT")));
        assertThat(
                "a measurement from before the last order took effect",
                throttler.decide(load(9500, 10_500, expensive), 11_500),
                is(empty()));
    }

    @Test
    void restoresOnlyAfterACalmPeriodAndNotAboveTheThreshold() {
        BatchThrottler throttler = BatchThrottler.of(EvictionBudget.of(60));
        throttler.decide(load(9900, 0, attempt("a", 500, 0, true)), 0);
        BatchAttempt small = attempt("small", 500, 0, true);
        BatchAttempt large = attempt("large", 900, 0, true);
        assertThat(throttler.decide(load(5000, 4000, small, large), 4000), is(empty()));
        assertThat(throttler.decide(load(5000, 6999, small, large), 6999), is(empty()));
        assertThat(text(throttler.decide(load(5000, 7000, small, large), 7000)), is(List.of("small RUN")));
        assertThat(throttler.isOpenForBatch(HOST), is(true));
    }

    @Property(seed = "71", tries = 40)
    void evictionsStayWithinTheBudget(@ForAll @IntRange(min = 0, max = 100) int perMinute, @ForAll long seed) {
        BatchThrottler throttler = BatchThrottler.of(EvictionBudget.of(perMinute));
        Random random = new Random(seed);
        int evicted = 0;
        for (long nowMs = 0; nowMs <= 60_000; nowMs += 500) {
            for (int host = 0; host < 10; host++) {
                List<BatchAttempt> batch = new ArrayList<>();
                for (int i = 0; i < 5; i++) {
                    batch.add(memory("j" + i, 300, random.nextInt(1000)));
                }
                HostLoad load = new HostLoad(HostId.of("w" + host), CAPACITY, Resources.NONE, nowMs, batch);
                evicted += (int) throttler.decide(load, nowMs).stream()
                        .filter(o -> o.action() == AttemptAction.EVICT)
                        .count();
            }
        }
        assertThat(evicted, lessThanOrEqualTo(perMinute + Math.max(Math.min(1, perMinute), perMinute / 4)));
    }
}
