package org.cornelcove.policy.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.learn.RunTimes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class RequestQueueTest {
    private static final long MS = 1000;
    private static final ServiceRule RULE =
            new ServiceRule("booking", "/", RequestClass.SAFE, 1000, 10_000, 1 << 20, 40, 100, 25);

    static RequestQueue<String> queue(RunTimes times) {
        return RequestQueue.of(RULE, t -> new TenantRule(t, t.startsWith("heavy") ? 3 : 1, 30), times, 7);
    }

    static RunTimes recordedTimes() {
        RunTimes times = RunTimes.create();
        for (int i = 0; i < 32; i++) {
            times.record("booking", "quote", 20 * MS);
            times.record("booking", "report", 2000 * MS);
        }
        return times;
    }

    static Arrival<String> arrival(String tenant, String kind, long deadlineMs, String payload) {
        return new Arrival<>(tenant, kind, deadlineMs * MS, 20 * MS, payload);
    }

    static Stream<Arguments> arrivals() {
        return Stream.of(
                arguments("free slot", 8, 0, 100, Optional.empty()),
                arguments("no slot at all", 0, 0, 100, Optional.of(ErrorKind.NO_TARGET)),
                arguments("deadline below run time", 8, 0, 10, Optional.of(ErrorKind.DEADLINE_UNREACHABLE)),
                arguments("wait fits", 1, 3, 200, Optional.empty()),
                arguments("wait does not fit", 1, 10, 200, Optional.of(ErrorKind.DEADLINE_UNREACHABLE)),
                arguments("queue limit of the tenant", 8, 30, 5000, Optional.of(ErrorKind.QUEUE_FULL)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("arrivals")
    void decidesAtArrival(String name, int slots, int waiting, long deadlineMs, Optional<ErrorKind> refusal) {
        RequestQueue<String> queue = queue(recordedTimes());
        for (int i = 0; i < waiting; i++) {
            queue.offer(arrival("t", "quote", deadlineMs, "w"), Math.max(1, slots), 0);
        }
        assertThat(
                queue.offer(arrival("t", "quote", deadlineMs, "x"), slots, 0)
                        .verdict()
                        .refusal(),
                is(refusal));
    }

    @Test
    void earlierLatestStartGoesFirst() {
        RequestQueue<String> queue = queue(recordedTimes());
        queue.offer(arrival("t", "quote", 900, "late"), 8, 0);
        queue.offer(arrival("t", "quote", 300, "soon"), 8, 0);
        queue.offer(arrival("t", "quote", 600, "middle"), 8, 0);
        List<String> order = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            order.add(queue.poll(8, 0).orElseThrow().payload());
        }
        assertThat(order, contains("soon", "middle", "late"));
    }

    @Test
    void fullQueueMakesRoomForTenantBelowItsShare() {
        RequestQueue<String> queue = queue(recordedTimes());
        for (int i = 0; i < 60; i++) {
            queue.offer(arrival(i < 30 ? "a" : "b", "quote", 10_000, "w" + i), 8, 0);
        }
        assertThat(queue.size(), is(40));
        Offer<String> offer = queue.offer(arrival("c", "quote", 10_000, "c"), 8, 0);
        assertThat(offer.verdict().isAdmitted(), is(true));
        assertThat(queue.takeExpired(0).size(), greaterThan(0));
        assertThat(queue.size(), is(40));
    }

    @Test
    void expiredRequestsAreReturnedAndNeverStarted() {
        RequestQueue<String> queue = queue(recordedTimes());
        queue.offer(arrival("t", "quote", 100, "x"), 1, 0);
        assertThat(queue.poll(1, 90 * MS), is(Optional.empty()));
        assertThat(queue.takeExpired(90 * MS).get(0).payload(), is("x"));
    }

    @Test
    void stragglerCountsAsLongByItsOwnRunningTime() {
        RequestQueue<String> queue = queue(RunTimes.create());
        for (int i = 0; i < 8; i++) {
            queue.offer(arrival("t", "unknown", 10_000, "s" + i), 8, 0);
            queue.poll(8, 0);
        }
        assertThat(queue.busyLong(), is(0));
        queue.poll(8, 101 * MS);
        assertThat(queue.busyLong(), is(8));
        queue.offer(arrival("t", "unknown", 10_000, "next"), 16, 101 * MS);
        assertThat(
                "recorded before any run ended",
                queue.poll(16, 101 * MS).orElseThrow().isLong(),
                is(true));
    }

    static Stream<Arguments> starts() {
        return Stream.of(
                arguments("a free slot", 8, List.of(), List.of(), "quote", true),
                arguments("no slot at all", 0, List.of(), List.of(), "quote", false),
                arguments("every slot taken", 2, List.of("quote", "quote"), List.of(), "quote", false),
                arguments("a request waits for the free slot", 8, List.of(), List.of("quote"), "quote", false),
                arguments("long work at its limit", 2, List.of("report"), List.of(), "report", false),
                arguments("only long work at its limit waits", 2, List.of("report"), List.of("report"), "quote", true),
                arguments("long work waits below its limit", 8, List.of(), List.of("report"), "quote", false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("starts")
    void startsImmediatelyIfNoWaitingRequestMayStartFirst(
            String name, int slots, List<String> running, List<String> waiting, String kind, boolean starts) {
        RequestQueue<String> queue = queue(recordedTimes());
        running.forEach(
                one -> queue.startNow(arrival("t", one, 10_000, "r"), slots, 0).orElseThrow());
        waiting.forEach(one -> queue.offer(arrival("t", one, 10_000, "w"), slots, 0));
        Optional<QueuedRequest<String>> started = queue.startNow(arrival("t", kind, 1, "x"), slots, 0);
        assertThat(started.isPresent(), is(starts));
        assertThat(queue.busy(), is(running.size() + (starts ? 1 : 0)));
        started.ifPresent(one -> queue.finished(one, 20 * MS));
        assertThat(queue.busy(), is(running.size()));
    }

    @ParameterizedTest(name = "{0} short requests a second")
    @CsvSource({"0, 30", "100, 30", "500, 23", "5000, 4"})
    void longWorkLeavesWhatShortWorkNeeds(int shortPerSecond, int longStarted) {
        RequestQueue<String> queue = queue(recordedTimes());
        long nowUs = 0;
        for (int i = 0; i < 100 * shortPerSecond; i++) {
            nowUs = i * 1_000_000L / shortPerSecond;
            queue.offer(arrival("s", "quote", nowUs / MS + 5000, "s"), 40, nowUs);
            QueuedRequest<String> next = queue.poll(40, nowUs).orElseThrow();
            queue.finished(next, nowUs);
        }
        int started = 0;
        for (int i = 0; i < 30; i++) {
            queue.offer(arrival("l", "report", nowUs / MS + 100_000, "l"), 40, nowUs);
            started += queue.poll(40, nowUs).isPresent() ? 1 : 0;
        }
        assertThat(started, is(longStarted));
    }

    @Test
    void cancelledRequestLeavesTheQueueOnce() {
        RequestQueue<String> queue = queue(recordedTimes());
        QueuedRequest<String> queuedRequest =
                queue.offer(arrival("t", "quote", 900, "x"), 8, 0).request().orElseThrow();
        assertThat(queue.cancel(queuedRequest), is(true));
        assertThat(queue.cancel(queuedRequest), is(false));
        assertThat(queue.size(), is(0));
    }

    @Property(seed = "11", tries = 50)
    void longWorkNeverTakesTheSlotsOfShortWork(@ForAll @IntRange(min = 2, max = 64) int slots, @ForAll long seed) {
        RequestQueue<String> queue = queue(recordedTimes());
        Random random = new Random(seed);
        List<QueuedRequest<String>> running = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            long nowUs = step * MS;
            String kind = random.nextInt(3) == 0 ? "quote" : "report";
            queue.offer(arrival("t" + random.nextInt(3), kind, 10_000 + random.nextInt(900), "x"), slots, nowUs);
            if (random.nextInt(8) == 0 && !running.isEmpty()) {
                queue.finished(running.remove(random.nextInt(running.size())), nowUs);
            }
            running.removeIf(w -> finishIfShort(queue, w, nowUs));
            queue.poll(slots, nowUs).ifPresent(running::add);
            assertThat(queue.busyLong(), lessThanOrEqualTo(queue.longSlots(slots)));
            assertThat(running.size(), lessThanOrEqualTo(slots));
        }
    }

    private static boolean finishIfShort(RequestQueue<String> queue, QueuedRequest<String> request, long nowUs) {
        if (request.isLong()) {
            return false;
        }
        queue.finished(request, nowUs);
        return true;
    }

    @Property(seed = "12", tries = 30)
    void tenantsThatAlwaysWaitAreServedByTheirWeights(@ForAll @IntRange(min = 1, max = 8) int burst) {
        RequestQueue<String> queue = queue(recordedTimes());
        int[] served = new int[2];
        for (int step = 0; step < 2000; step++) {
            for (int i = 0; i < burst; i++) {
                queue.offer(arrival("heavy", "quote", 100_000, "h"), 8, 0);
            }
            queue.offer(arrival("light", "quote", 100_000, "l"), 8, 0);
            QueuedRequest<String> next = queue.poll(8, 0).orElseThrow();
            served[next.tenant().equals("heavy") ? 0 : 1]++;
            queue.finished(next, 20 * MS);
        }
        assertThat(served[0] / 2000.0, closeTo(0.75, 0.05));
    }
}
