package org.cornelcove.testkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.wire.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Guards the reports of a worker whose heartbeats stay unanswered until its lease has expired. */
class WorkerAgentTest {
    private static final AttemptId ATTEMPT = AttemptId.of(JobId.of("job-1"), 1);
    private static final Resources CAPACITY = Resources.of(4_000, 16L << 30, 0);
    private static final String CHECKPOINT = "7";
    private static final long LEASE_MS = 2_000;
    private static final int UNANSWERED_HEARTBEATS = 6;
    private static final long HEARTBEAT_MS = 300;
    private static final long LIMIT_S = 30;

    private final BlockingQueue<WorkerHeartbeat> received = new LinkedBlockingQueue<>();
    private final AtomicBoolean orderSent = new AtomicBoolean();

    @ParameterizedTest
    @CsvSource({
        // an end under the lease is still reported after it expired; a running attempt is stopped and not reported
        "50, FINISHED",
        "60000,"
    })
    void endIsReportedAfterLeaseIsOver(long runMs, AttemptEnd expected) throws Exception {
        HttpServer leader = leader(runMs);
        WorkerOptions options = new WorkerOptions(
                HostId.of("worker-1"),
                "zone-1",
                "rack-1",
                CAPACITY,
                false,
                List.of("127.0.0.1:" + leader.getAddress().getPort()));
        History history = History.inMemory();
        try (WorkerAgent worker = WorkerAgent.start(options, history)) {
            for (int i = 0; i <= UNANSWERED_HEARTBEATS; i++) {
                received.poll(LIMIT_S, TimeUnit.SECONDS);
            }
            WorkerHeartbeat late = received.poll(LIMIT_S, TimeUnit.SECONDS);
            assertThat(late.attempts().stream().map(report -> report.end()).toList(), is(ends(expected)));
            assertThat(history.events(AttemptEvent.class).get(0).checkpoint(), is(CHECKPOINT));
        } finally {
            leader.stop(0);
        }
    }

    private static List<Optional<AttemptEnd>> ends(AttemptEnd expected) {
        return expected == null ? List.of() : List.of(Optional.of(expected));
    }

    /** A leader that orders the attempt once and answers all later heartbeats with 503. */
    private HttpServer leader(long runMs) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        WorkerOrders first = new WorkerOrders(LEASE_MS, HEARTBEAT_MS, List.of(run(runMs)));
        server.createContext("/", exchange -> answer(exchange, first));
        server.start();
        return server;
    }

    private void answer(HttpExchange exchange, WorkerOrders first) throws IOException {
        WorkerHeartbeat heartbeat = Json.decode(exchange.getRequestBody().readAllBytes(), WorkerHeartbeat.class)
                .get();
        received.add(heartbeat);
        if (orderSent.compareAndSet(false, true)) {
            byte[] body = Json.encode(first);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        } else {
            exchange.sendResponseHeaders(503, -1);
        }
        exchange.close();
    }

    private static AttemptOrder run(long runMs) {
        JobSpec spec = new JobSpec(
                ATTEMPT.job(),
                "team",
                JobKind.BATCH,
                "task",
                Resources.of(1_000, 1L << 30, 0),
                0,
                false,
                "runMs=" + runMs);
        return new AttemptOrder(ATTEMPT, AttemptAction.RUN, Optional.of(spec), Optional.of(CHECKPOINT));
    }
}
