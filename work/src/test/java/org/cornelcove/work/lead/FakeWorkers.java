package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToDoubleFunction;

import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;

/**
 * Workers that keep the promises of real ones and no more: a lease on their own clock, a fence, ends that stay until
 * they are noted, and orders that may get no answer and be carried out later. Notes each task that runs twice at once,
 * or again after its end was noted.
 */
public final class FakeWorkers implements WorkerDriver {
    static final long TASK_MS = 500;
    private static final long CALL_MS = 2;
    private static final long SILENCE_MS = 500;

    /** One life of a worker. */
    final class Life {
        final WorkerInfo info;
        final Map<TaskKey, Integer> running = new LinkedHashMap<>();
        final List<EndedRow> ended = new ArrayList<>();
        final Map<TaskKey, Integer> highest = new HashMap<>();
        long leaseMs;
        long fence;
        long lastEnd;
        boolean silent;
        boolean up = true;
        /** Delay with which the next starts are carried out, without an answer. */
        long lateStartMs;

        boolean fails;
        /** Whether it says that it has no room. */
        boolean full;
        /** What a look tells of a running task: a tail or the processor in use. */
        ToDoubleFunction<TaskKey> figure = task -> -1;

        Life(WorkerInfo info) {
            this.info = info;
        }

        void crash() {
            up = false;
            running.clear();
        }
    }

    final ManualLoop loop;
    final Map<String, Life> lives = new HashMap<>();
    final List<String> faults = new ArrayList<>();
    final Map<TaskKey, Integer> starts = new HashMap<>();
    final Map<TaskKey, Integer> paces = new HashMap<>();
    /** How long a task works. */
    long taskMs = TASK_MS;

    private final Set<TaskKey> noted = new HashSet<>();

    public FakeWorkers(ManualLoop loop) {
        this.loop = loop;
    }

    Life add(String id, long born) {
        return add(id, born, "10.0.0.1:" + (1000 + lives.size()));
    }

    Life add(String id, long born, String address) {
        Life life = new Life(info(id, born, address, false, 1));
        lives.put(id, life);
        loop.term.announce(life.info);
        return life;
    }

    WorkerInfo info(String id, long born, String address, boolean draining, long sequence) {
        return new WorkerInfo(
                id,
                born,
                address,
                "z",
                "pool",
                draining,
                OptionalLong.empty(),
                0,
                8000,
                16_000,
                0,
                List.of("a", "r1"),
                loop.nowMs(),
                sequence);
    }

    /** Lets all that are up send a heartbeat. */
    void beat(long sequence) {
        lives.values().stream()
                .filter(life -> life.up && !life.silent)
                .forEach(life -> loop.term.announce(
                        info(life.info.id(), life.info.bornMs(), life.info.address(), false, sequence)));
    }

    private Life at(WorkerInfo worker) {
        Life life = lives.get(worker.id());
        if (loop.nowMs() > life.leaseMs && !life.running.isEmpty()) {
            List.copyOf(life.running.keySet()).forEach(task -> end(life, task, RunEnd.LAPSED));
        }
        return life;
    }

    private <T> CompletableFuture<T> answer(Life life, T answer, T silence) {
        CompletableFuture<T> future = new CompletableFuture<>();
        boolean lost = life.silent || !life.up;
        loop.later(lost ? SILENCE_MS : CALL_MS, () -> future.complete(lost ? silence : answer));
        return future;
    }

    private static Answer answer(Reply reply, ManualLoop loop) {
        return new Answer(reply, OptionalLong.of(loop.nowMs()));
    }

    @Override
    public CompletableFuture<Answer> start(WorkerInfo worker, StartOrder order) {
        Life life = at(worker);
        Answer silence = new Answer(Reply.NO_ANSWER, OptionalLong.empty());
        if (life.lateStartMs > 0) {
            loop.later(life.lateStartMs, () -> carryOut(life, order));
            CompletableFuture<Answer> future = new CompletableFuture<>();
            loop.later(SILENCE_MS, () -> future.complete(silence));
            return future;
        }
        return life.up && !life.silent
                ? answer(life, answer(carryOut(life, order), loop), silence)
                : answer(life, silence, silence);
    }

    private Reply carryOut(Life life, StartOrder order) {
        at(life.info);
        if (!life.up || order.fence() < life.fence) {
            return Reply.FENCED;
        }
        life.fence = order.fence();
        if (Integer.valueOf(order.runId()).equals(life.running.get(order.task()))) {
            return Reply.OK;
        }
        if (order.runId() <= life.highest.getOrDefault(order.task(), 0)) {
            return Reply.OLD;
        }
        if (order.deadlineMs() < loop.nowMs()) {
            return Reply.LATE;
        }
        if (life.full) {
            return Reply.NO_ROOM;
        }
        check(order);
        life.leaseMs = Math.max(life.leaseMs, order.deadlineMs());
        life.running.put(order.task(), order.runId());
        life.highest.put(order.task(), order.runId());
        starts.merge(order.task(), 1, Integer::sum);
        loop.later(taskMs, () -> finish(life, order));
        return Reply.OK;
    }

    private void check(StartOrder order) {
        lives.values().stream()
                .filter(other -> other.up && other.running.containsKey(order.task()) && loop.nowMs() <= other.leaseMs)
                .forEach(other -> faults.add(order.task().text() + " runs twice"));
        if (noted.contains(order.task())) {
            faults.add(order.task().text() + " starts after its end");
        }
    }

    private void finish(Life life, StartOrder order) {
        at(life.info);
        if (life.up && Integer.valueOf(order.runId()).equals(life.running.get(order.task()))) {
            end(life, order.task(), life.fails ? RunEnd.FAILED : RunEnd.DONE);
        }
    }

    private void end(Life life, TaskKey task, RunEnd how) {
        Integer runId = life.running.remove(task);
        life.ended.add(new EndedRow(++life.lastEnd, task, runId, how, ""));
    }

    @Override
    public CompletableFuture<Answer> stop(WorkerInfo worker, TaskKey task, int runId, long fence) {
        Life life = at(worker);
        if (life.up && !life.silent && fence >= life.fence) {
            life.highest.merge(task, runId, Math::max);
            if (Integer.valueOf(runId).equals(life.running.get(task))) {
                end(life, task, RunEnd.STOPPED);
            }
        }
        return answer(life, answer(Reply.OK, loop), new Answer(Reply.NO_ANSWER, OptionalLong.empty()));
    }

    @Override
    public CompletableFuture<Look> hold(WorkerInfo worker, HoldOrder order) {
        Life life = at(worker);
        Look silence = new Look(Reply.NO_ANSWER, OptionalLong.empty(), OptionalLong.empty(), List.of(), List.of());
        if (!life.up || life.silent || order.fence() < life.fence) {
            return answer(life, silence, silence);
        }
        life.fence = order.fence();
        order.deadlineMs().ifPresent(deadline -> life.leaseMs = Math.max(life.leaseMs, deadline));
        life.ended.stream()
                .filter(row -> row.number() <= order.notedThrough() && row.how() == RunEnd.DONE)
                .forEach(row -> noted.add(row.task()));
        life.ended.removeIf(row -> row.number() <= order.notedThrough());
        CompletableFuture<Look> future = new CompletableFuture<>();
        waitForEnd(life, order.waitMs(), future);
        return future;
    }

    private void waitForEnd(Life life, long leftMs, CompletableFuture<Look> future) {
        if (leftMs > 0 && life.ended.isEmpty()) {
            loop.later(10, () -> waitForEnd(life, leftMs - 10, future));
            return;
        }
        at(life.info);
        List<RunningRow> running = life.running.entrySet().stream()
                .map(e -> new RunningRow(
                        e.getKey(), e.getValue(), "", (int) (loop.nowMs() % 97), life.figure.applyAsDouble(e.getKey())))
                .toList();
        Look look = new Look(
                Reply.OK,
                OptionalLong.of(life.info.bornMs()),
                OptionalLong.of(loop.nowMs()),
                running,
                List.copyOf(life.ended));
        Look silence = new Look(Reply.NO_ANSWER, OptionalLong.empty(), OptionalLong.empty(), List.of(), List.of());
        answer(life, look, silence).thenAccept(future::complete);
    }

    @Override
    public CompletableFuture<Answer> pace(WorkerInfo worker, TaskKey task, int runId, int percent, long fence) {
        Life life = at(worker);
        paces.put(task, percent);
        return answer(life, answer(Reply.OK, loop), new Answer(Reply.NO_ANSWER, OptionalLong.empty()));
    }
}
