package org.cornelcove.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.wire.Json;

/**
 * A worker that runs attempts as timers while it holds a lease. A task runs for the time in its payload
 * ({@code runMs=1200}), and its checkpoint is the number of milliseconds done. The lease is counted from the instant at
 * which the last answered heartbeat was sent; when it expires, every running attempt stops at once. An attempt that
 * ended before is reported in every heartbeat until the leader acknowledges that its end is recorded, without a time
 * limit.
 */
public final class WorkerAgent implements AutoCloseable {
    private static final long FIRST_HEARTBEAT_MS = 500;
    private static final long LEASE_CHECK_MS = 50;

    private final WorkerOptions options;
    private final long incarnation = System.currentTimeMillis();
    private final ApiClient api;
    private final History history;
    private final Map<AttemptId, Run> runs = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    /** Instant at which every running attempt has to stop; guarded by this. */
    private long leaseEndNs = System.nanoTime();

    private WorkerAgent(WorkerOptions options, History history) {
        this.options = options;
        this.api = new ApiClient(options.api());
        this.history = history;
    }

    /**
     * Starts a worker.
     *
     * @param options the options of the worker
     * @param history the history that records its events; closed with the worker
     * @return the running worker
     */
    public static WorkerAgent start(WorkerOptions options, History history) {
        WorkerAgent agent = new WorkerAgent(options, history);
        agent.timer.execute(agent::sendHeartbeat);
        agent.timer.scheduleWithFixedDelay(agent::recordRunning, 0, LEASE_CHECK_MS, TimeUnit.MILLISECONDS);
        return agent;
    }

    private void sendHeartbeat() {
        long sentNs = System.nanoTime();
        long nextMs = FIRST_HEARTBEAT_MS;
        try {
            Optional<WorkerOrders> orders = api.post("/v1/workers/heartbeat", buildHeartbeat())
                    .flatMap(body -> Json.decode(body, WorkerOrders.class).toJavaOptional());
            if (orders.isPresent()) {
                nextMs = orders.get().nextHeartbeatMs();
                renewLease(sentNs, orders.get());
            }
        } finally {
            timer.schedule(this::sendHeartbeat, nextMs, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void renewLease(long sentNs, WorkerOrders orders) {
        leaseEndNs = sentNs + TimeUnit.MILLISECONDS.toNanos(orders.leaseMs());
        stopIfLeaseExpired();
        if (!leaseExpired()) {
            orders.orders().forEach(this::execute);
        }
    }

    private synchronized WorkerHeartbeat buildHeartbeat() {
        List<AttemptReport> reports = new ArrayList<>();
        runs.values().forEach(run -> reports.add(run.report()));
        return new WorkerHeartbeat(
                options.host(),
                incarnation,
                options.availabilityZone(),
                options.rack(),
                options.capacity(),
                false,
                reports);
    }

    private void execute(AttemptOrder order) {
        switch (order.action()) {
            case RUN, THROTTLE -> order.spec().ifPresent(spec -> startOnce(order, spec));
            case EVICT -> Optional.ofNullable(runs.get(order.attempt())).ifPresent(run -> run.end(AttemptEnd.EVICTED));
            case STOP -> Optional.ofNullable(runs.remove(order.attempt())).ifPresent(Run::stop);
            case FORGET -> Optional.ofNullable(runs.remove(order.attempt())).ifPresent(Run::forget);
            default -> throw new IllegalStateException("unknown action " + order.action());
        }
    }

    private void startOnce(AttemptOrder order, JobSpec spec) {
        runs.computeIfAbsent(order.attempt(), attempt -> new Run(attempt, spec, order.checkpoint()));
    }

    private synchronized void stopIfLeaseExpired() {
        if (leaseExpired()) {
            runs.values().removeIf(Run::stopIfRunning);
        }
    }

    private boolean leaseExpired() {
        return System.nanoTime() - leaseEndNs > 0;
    }

    private synchronized void recordRunning() {
        stopIfLeaseExpired();
        runs.values().forEach(Run::recordRunning);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        history.close();
    }

    /** One attempt that runs, or that ended without an acknowledgement by the leader. */
    private final class Run {
        private final AttemptId attempt;
        private final JobSpec spec;
        private final long resumedFromMs;
        private final long startedNs = System.nanoTime();
        private Optional<AttemptEnd> end = Optional.empty();
        private long doneAtEndMs;

        Run(AttemptId attempt, JobSpec spec, Optional<String> checkpoint) {
            this.attempt = attempt;
            this.spec = spec;
            this.resumedFromMs = checkpoint.map(Long::parseLong).orElse(0L);
            record("started", resumedFromMs);
            long remainingMs = Math.max(0, Payload.runMs(spec.payload()) - resumedFromMs);
            timer.schedule(this::finish, remainingMs, TimeUnit.MILLISECONDS);
        }

        private void finish() {
            synchronized (WorkerAgent.this) {
                stopIfLeaseExpired();
                if (runs.get(attempt) == this) {
                    end(options.failing() ? AttemptEnd.FAILED : AttemptEnd.FINISHED);
                }
            }
        }

        void end(AttemptEnd how) {
            if (end.isEmpty()) {
                doneAtEndMs = doneMs();
                end = Optional.of(how);
                record(how.name().toLowerCase(Locale.ROOT));
            }
        }

        /** Stops the attempt if it runs, and returns whether it did. */
        boolean stopIfRunning() {
            boolean ran = end.isEmpty();
            stop();
            return ran;
        }

        void stop() {
            if (end.isEmpty()) {
                doneAtEndMs = doneMs();
                end = Optional.of(AttemptEnd.FAILED);
                record("stopped");
            }
        }

        void forget() {
            stop();
            record("forgotten");
        }

        void recordRunning() {
            if (end.isEmpty()) {
                record("running");
            }
        }

        AttemptReport report() {
            return AttemptReport.of(
                    attempt,
                    spec.resources().cpuMillicores(),
                    spec.resources().memoryBytes(),
                    0,
                    Optional.of(Long.toString(doneMs())),
                    end,
                    end.filter(AttemptEnd.FAILED::equals)
                            .map(e -> "the task failed")
                            .orElse(""));
        }

        private long doneMs() {
            if (end.isPresent()) {
                return doneAtEndMs;
            }
            return resumedFromMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
        }

        private void record(String what) {
            record(what, doneMs());
        }

        private void record(String what, long checkpointMs) {
            history.write(new AttemptEvent(
                    options.host().value(),
                    attempt.job().value(),
                    attempt.number(),
                    what,
                    Long.toString(checkpointMs),
                    spec.resources(),
                    options.capacity(),
                    System.currentTimeMillis()));
        }
    }
}
