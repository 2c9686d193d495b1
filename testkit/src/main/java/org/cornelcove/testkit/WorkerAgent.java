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
 * A worker: runs attempts as timers under its lease. A task runs as long as its payload says ({@code runMs=1200}), and
 * its checkpoint is the number of milliseconds done. When the lease is over, counted from the instant at which the
 * last answered heartbeat was sent, every attempt stops at once. An attempt that ended before is reported until the
 * leader says that its end is recorded, however long that takes.
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
    /** When every attempt has to stop; guarded by this. */
    private long leaseEndNs = System.nanoTime();

    private WorkerAgent(WorkerOptions options, History history) {
        this.options = options;
        this.api = new ApiClient(options.api());
        this.history = history;
    }

    /**
     * Starts a worker.
     *
     * @param options what it is and where it reports
     * @param history where it writes what it did
     * @return the running worker
     */
    public static WorkerAgent start(WorkerOptions options, History history) {
        WorkerAgent agent = new WorkerAgent(options, history);
        agent.timer.execute(agent::beat);
        agent.timer.scheduleWithFixedDelay(agent::showRunning, 0, LEASE_CHECK_MS, TimeUnit.MILLISECONDS);
        return agent;
    }

    private void beat() {
        long sentNs = System.nanoTime();
        long nextMs = FIRST_HEARTBEAT_MS;
        try {
            Optional<WorkerOrders> orders = api.post("/v1/workers/heartbeat", heartbeat())
                    .flatMap(body -> Json.decode(body, WorkerOrders.class).toJavaOptional());
            if (orders.isPresent()) {
                nextMs = orders.get().nextHeartbeatMs();
                renewed(sentNs, orders.get());
            }
        } finally {
            timer.schedule(this::beat, nextMs, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void renewed(long sentNs, WorkerOrders orders) {
        leaseEndNs = sentNs + TimeUnit.MILLISECONDS.toNanos(orders.leaseMs());
        stopWhenLeaseOver();
        if (!leaseOver()) {
            orders.orders().forEach(this::follow);
        }
    }

    private synchronized WorkerHeartbeat heartbeat() {
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

    private void follow(AttemptOrder order) {
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

    private synchronized void stopWhenLeaseOver() {
        if (leaseOver()) {
            runs.values().removeIf(Run::stoppedNow);
        }
    }

    private boolean leaseOver() {
        return System.nanoTime() - leaseEndNs > 0;
    }

    private synchronized void showRunning() {
        stopWhenLeaseOver();
        runs.values().forEach(Run::showRunning);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        history.close();
    }

    /** One attempt under way or ended. */
    private final class Run {
        private final AttemptId attempt;
        private final JobSpec spec;
        private final long doneBeforeMs;
        private final long startedNs = System.nanoTime();
        private Optional<AttemptEnd> end = Optional.empty();
        private long doneAtEndMs;

        Run(AttemptId attempt, JobSpec spec, Optional<String> checkpoint) {
            this.attempt = attempt;
            this.spec = spec;
            this.doneBeforeMs = checkpoint.map(Long::parseLong).orElse(0L);
            record("started", doneBeforeMs);
            long leftMs = Math.max(0, Payload.runMs(spec.payload()) - doneBeforeMs);
            timer.schedule(this::finish, leftMs, TimeUnit.MILLISECONDS);
        }

        private void finish() {
            synchronized (WorkerAgent.this) {
                stopWhenLeaseOver();
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

        /** Returns whether it still ran. */
        boolean stoppedNow() {
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

        void showRunning() {
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
            return doneBeforeMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
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
