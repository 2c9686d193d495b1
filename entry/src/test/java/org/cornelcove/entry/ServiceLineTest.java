package org.cornelcove.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.learn.RunTimes;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Starts, queues and ends requests of one service in many threads, while another thread checks the invariants. */
class ServiceLineTest {
    private static final int THREADS = 8;
    private static final int TARGETS = 4;
    private static final int SLOTS = 4;
    private static final int BURSTS = 4_000;
    private static final long SHORT_RUN_MS = 60_000;
    private static final long LONG_RUN_US = 70_000_000;
    private static final long DEADLINE_NS = 10_000_000_000_000L;
    private static final ServiceRule RULE =
            new ServiceRule("s", "/", RequestClass.SAFE, 1_000, 10_000, 1 << 20, 10_000, SHORT_RUN_MS, 25);

    private final RunTimes times = RunTimes.create();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger offered = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final Map<OwnedTarget, AtomicInteger> held = new HashMap<>();
    private final List<OwnedTarget> owned = new ArrayList<>();
    private ServiceLine line;

    @ParameterizedTest(name = "bursts up to {0}, one in {1} long, seed {2}")
    @CsvSource({"2, 1000000, 1", "3, 500, 2", "6, 20, 3", "6, 1000000, 4"})
    void nothingIsLostAndNoSlotIsTakenTwice(int burst, int longOneIn, long seed) throws Exception {
        for (int i = 0; i < 32; i++) {
            times.record("s", "GET /report", LONG_RUN_US);
        }
        line = new ServiceLine(
                RULE,
                tenant -> new TenantRule(tenant, 1, 10_000),
                times,
                EntrySettings.of(EntryId.of("e1"), 1, "zone-a", "127.0.0.1", 0, "127.0.0.1:1", 1),
                System.nanoTime());
        AtomicBoolean over = new AtomicBoolean();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS + 1);
        try (TargetClient client = TargetClient.open(1_000, 1)) {
            for (int i = 0; i < TARGETS; i++) {
                owned.add(target(i, client));
                held.put(owned.get(i), new AtomicInteger());
            }
            List<Callable<Void>> callers = new ArrayList<>();
            for (int i = 0; i < THREADS; i++) {
                Random random = new Random(seed * THREADS + i);
                callers.add(() -> call(random, burst, longOneIn));
            }
            Future<Integer> looks = threads.submit(() -> look(over));
            for (Future<Void> one : threads.invokeAll(callers)) {
                one.get();
            }
            over.set(true);
            assertThat(looks.get(), greaterThan(0));
        } finally {
            threads.shutdownNow();
        }
        assertThat("slots taken twice or runs started twice", broken.get(), is(0));
        assertThat("something was left waiting beside free slots", line.hasWork(), is(false));
        assertThat(ended.get() + refused.get(), is(offered.get()));
        assertThat(line.inspect(queue -> queue.busy() + queue.size()), is(0));
        assertThat(active(), is(0));
    }

    private static OwnedTarget target(int number, TargetClient client) {
        TargetAnnouncement announcement =
                new TargetAnnouncement(TargetId.of("t" + number), "s", "127.0.0.1:1", "zone-a", SLOTS, SLOTS, 0, false);
        // Received in the future, so that the target does not become silent during the test.
        long receivedNs = System.nanoTime() + DEADLINE_NS;
        return OwnedTarget.open(new TargetGrant(announcement, 1, 0, 0, 0), client, receivedNs, System.nanoTime());
    }

    /** Checks the invariants in exclusive mode until the other threads are done; returns the number of checks. */
    private int look(AtomicBoolean over) {
        int looks = 0;
        while (!over.get()) {
            line.inspect(queue -> {
                assertThat("running requests and active slots", queue.busy(), is(active()));
                assertThat(queue.busyLong(), lessThanOrEqualTo(queue.longSlots(TARGETS * SLOTS)));
                return queue.busy();
            });
            looks++;
            Thread.yield();
        }
        return looks;
    }

    private int active() {
        return owned.stream().mapToInt(target -> target.slots().active()).sum();
    }

    /** Sends bursts of requests and ends the ones it started. */
    private Void call(Random random, int burst, int longOneIn) {
        Deque<ServiceLine.Start> mine = new ArrayDeque<>();
        for (int i = 0; i < BURSTS; i++) {
            for (int n = 1 + random.nextInt(burst); n > 0; n--) {
                send(random.nextInt(longOneIn) == 0 ? "/report" : "/quote", random, mine);
            }
            while (!mine.isEmpty()) {
                end(mine.poll(), mine);
            }
        }
        return null;
    }

    private void send(String uri, Random random, Deque<ServiceLine.Start> mine) {
        long now = System.nanoTime();
        Run run = new Run(request(uri, "t" + random.nextInt(3), now));
        offered.incrementAndGet();
        Optional<ServiceLine.Start> start = line.startNow(run, owned, now);
        if (start.isPresent()) {
            began(start.get(), mine);
            return;
        }
        ServiceLine.Offered offer = line.offer(run, owned, now);
        refused.addAndGet(offer.verdict().isAdmitted() ? 0 : 1);
        offer.next().ifPresent(next -> began(next, mine));
        pump(mine);
    }

    private void began(ServiceLine.Start start, Deque<ServiceLine.Start> mine) {
        boolean first = start.run().start(System.nanoTime());
        boolean fits = held.get(start.target()).incrementAndGet() <= SLOTS;
        broken.addAndGet(first && fits ? 0 : 1);
        mine.add(start);
    }

    private void end(ServiceLine.Start start, Deque<ServiceLine.Start> mine) {
        held.get(start.target()).decrementAndGet();
        ended.incrementAndGet();
        boolean isLong = start.run().kind().endsWith("/report");
        // The run times of unsent requests are not recorded, so that reports remain long.
        ServiceLine.End how = isLong ? ServiceLine.End.NOT_SENT : ServiceLine.End.RAN;
        line.finished(start, how, owned, System.nanoTime());
        pump(mine);
    }

    private void pump(Deque<ServiceLine.Start> mine) {
        boolean more = line.hasWork();
        while (more) {
            Optional<ServiceLine.Start> next = line.startNext(owned, System.nanoTime());
            refused.addAndGet(line.takeExpired(System.nanoTime()).size());
            next.ifPresent(start -> began(start, mine));
            more = next.isPresent() && line.hasWork();
        }
    }

    private static ServiceRequest request(String uri, String tenant, long now) {
        return new ServiceRequest(
                "r",
                RULE,
                tenant,
                RequestClass.SAFE,
                "",
                ServiceRequest.Origin.CALLER,
                now,
                now + DEADLINE_NS,
                "GET",
                uri,
                List.of(),
                new byte[0],
                new RequestTrace("r", now));
    }
}
