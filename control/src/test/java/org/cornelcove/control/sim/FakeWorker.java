package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.control.leader.Leases;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.model.resource.Resources;

/** A worker that follows the protocol, with clock drift. */
final class FakeWorker {
    private static final long STEP_MS = 100;
    private static final long CHECKPOINT_MS = 1_000;
    private static final long STOP_MS = 300;

    private static final class Task {
        private final AttemptId id;
        private final JobSpec spec;
        private long doneMs;
        private Optional<String> checkpoint;
        private Optional<AttemptEnd> end = Optional.empty();
        private long evictOrderedMs = -1;
        private History.Run run;

        private Task(AttemptId id, JobSpec spec, Optional<String> checkpoint) {
            this.id = id;
            this.spec = spec;
            this.checkpoint = checkpoint;
            this.doneMs = checkpoint.map(Long::parseLong).orElse(0L);
        }
    }

    final HostId host;
    final Link link;
    private final Simulation sim;
    private final Resources capacity;
    private final double clockRate;
    private final Map<String, Task> tasks = new TreeMap<>();
    private long incarnation = 1;
    private long leaseUntilMs;
    private long sentSequence;
    private long answeredSequence;
    private int nodeIndex;
    private boolean frozen;

    FakeWorker(Simulation sim, String name, Resources capacity, double clockRate) {
        this.sim = sim;
        this.host = HostId.of(name);
        this.capacity = capacity;
        this.clockRate = clockRate;
        this.link = new Link(sim.time);
        sim.time.after(sim.time.between(0, 400), () -> sim.time.every(Leases.WORKER_HEARTBEAT_MS, this::sendHeartbeat));
        sim.time.every(STEP_MS, this::advanceAll);
    }

    private long localMs() {
        return (long) (sim.time.nowMs() * clockRate);
    }

    private void sendHeartbeat() {
        if (frozen) {
            return;
        }
        List<AttemptReport> reports = new ArrayList<>();
        for (Task task : tasks.values()) {
            reports.add(AttemptReport.of(
                    task.id,
                    0,
                    0,
                    0,
                    task.checkpoint,
                    task.end,
                    task.end.map(Enum::name).orElse("")));
        }
        WorkerHeartbeat heartbeat = new WorkerHeartbeat(host, incarnation, "z", "r-" + host, capacity, false, reports);
        long sequence = ++sentSequence;
        long sentMs = localMs();
        long sentTrueMs = sim.time.nowMs();
        long sentIncarnation = incarnation;
        link.call(() -> sim.group.node(nodeIndex).workerHeartbeat(heartbeat), (orders, fault) -> {
            if (fault != null) {
                nodeIndex++;
            } else if (sentIncarnation == incarnation && !frozen && sequence > answeredSequence) {
                answeredSequence = sequence;
                executeOrders(orders, sentMs, sentTrueMs);
            }
        });
        sim.time.after(900, () -> {
            if (answeredSequence < sequence) {
                nodeIndex++;
            }
        });
    }

    private void executeOrders(WorkerOrders orders, long sentMs, long sentTrueMs) {
        leaseUntilMs = Math.max(leaseUntilMs, sentMs + orders.leaseMs());
        for (AttemptOrder order : orders.orders()) {
            Task task = tasks.get(order.attempt().toString());
            switch (order.action()) {
                case RUN:
                    if (task == null && order.spec().isPresent() && localMs() < leaseUntilMs) {
                        start(order);
                    }
                    break;
                case EVICT:
                    if (task != null && task.end.isEmpty() && task.evictOrderedMs < 0) {
                        task.evictOrderedMs = sentTrueMs;
                        sim.time.after(200, () -> evict(task));
                    }
                    break;
                case STOP:
                    scheduleStop(task);
                    break;
                case FORGET:
                    forget(task);
                    break;
                default:
                    break;
            }
        }
    }

    private void start(AttemptOrder order) {
        Task task = new Task(order.attempt(), order.spec().get(), order.checkpoint());
        tasks.put(task.id.toString(), task);
        sim.history.starts.add(new History.Start(task.id, order.checkpoint(), sim.time.nowMs()));
        startRun(task);
        sim.reached(
                task.id.number() > 1 && order.checkpoint().isPresent() ? Step.RESUMED : Step.STARTED, task.id.job());
    }

    private void startRun(Task task) {
        task.run = new History.Run(host, task.id, task.spec.resources(), sim.time.nowMs());
        sim.history.runs.add(task.run);
    }

    private void pause(Task task) {
        if (task.run != null) {
            task.run.toMs = sim.time.nowMs();
            task.run = null;
        }
    }

    private void end(Task task, AttemptEnd end) {
        pause(task);
        task.end = Optional.of(end);
    }

    private void evict(Task task) {
        if (!frozen && task.end.isEmpty() && tasks.get(task.id.toString()) == task) {
            task.checkpoint = Optional.of(String.valueOf(task.doneMs));
            end(task, AttemptEnd.EVICTED);
            sim.reached(Step.EVICTED, task.id.job());
        }
    }

    private void scheduleStop(Task task) {
        if (task != null && task.end.isEmpty()) {
            task.evictOrderedMs = -1;
            sim.time.after(STOP_MS, () -> stop(task));
        }
    }

    private void stop(Task task) {
        if (!frozen && task.end.isEmpty() && tasks.get(task.id.toString()) == task) {
            end(task, AttemptEnd.FAILED);
        }
    }

    private void forget(Task task) {
        if (task != null && task.end.isPresent()) {
            tasks.remove(task.id.toString());
            if (task.evictOrderedMs >= 0 && task.end.get() == AttemptEnd.EVICTED) {
                sim.history.evictions.add(
                        new History.Eviction(task.id, task.checkpoint.get(), task.evictOrderedMs, sim.time.nowMs()));
            }
        }
    }

    private void advanceAll() {
        if (frozen) {
            return;
        }
        for (Task task : List.copyOf(tasks.values())) {
            if (task.end.isPresent()) {
                continue;
            }
            if (leaseExpired()) {
                end(task, AttemptEnd.EVICTED);
                task.evictOrderedMs = -1;
                continue;
            }
            advance(task);
        }
    }

    private boolean leaseExpired() {
        return localMs() + STEP_MS * 2 >= leaseUntilMs && sim.mutant != Mutant.LEASE_IGNORED;
    }

    private void advance(Task task) {
        task.doneMs += STEP_MS;
        if (task.doneMs >= task.spec.declaredRunMs()) {
            end(task, AttemptEnd.FINISHED);
            sim.reached(Step.FINISHED, task.id.job());
        } else if (task.doneMs % CHECKPOINT_MS == 0) {
            task.checkpoint = Optional.of(String.valueOf(task.doneMs));
            sim.reached(Step.CHECKPOINTING, task.id.job());
        }
    }

    public void freeze() {
        if (!frozen) {
            frozen = true;
            tasks.values().forEach(this::pause);
        }
    }

    public void thaw() {
        if (frozen) {
            frozen = false;
            tasks.values().stream()
                    .filter(task -> task.end.isEmpty() && !leaseExpired())
                    .forEach(this::startRun);
            advanceAll();
        }
    }

    public void restart() {
        tasks.values().forEach(this::pause);
        tasks.clear();
        incarnation++;
        leaseUntilMs = 0;
        frozen = false;
    }
}
