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
 * Simulated workers with only the guarantees of real ones: a lease on their own clock, a fence, ends that are kept until
 * they are acknowledged, and orders that may be carried out later without an answer. Records each task that runs twice at
 * the same time, or again after its end was acknowledged.
 */
public final class FakeWorkers implements WorkerDriver {
    static final long TASK_MS = 500;
    /** The label of a worker by its id, "a" if it has none here. */
    final Map<String, String> labels = new HashMap<>();

    /** The processor of a worker by its id, in thousandths of a core; {@link #CPU_MILLIS} if it has none here. */
    final Map<String, Integer> cpuMillis = new HashMap<>();

    static final int CPU_MILLIS = 8000;
    private static final long CALL_MS = 2;
    private static final long SILENCE_MS = 500;
    /** Time from the start of a deadly task to the crash of its worker. */
    private static final long CRASH_MS = 12;

    /** One incarnation of a worker. */
    final class Incarnation {
        final WorkerInfo info;
        final Map<TaskKey, Integer> running = new LinkedHashMap<>();
        final List<EndedRow> ended = new ArrayList<>();
        final Map<TaskKey, Integer> highest = new HashMap<>();
        /** When its lease expires, on the clock of the loop. */
        long leaseMs;
        /** What its clock is behind that of the loop. */
        long clockBehindMs;

        long fence;
        long lastEnd;
        boolean silent;
        boolean up = true;
        /** Delay after which the next starts are carried out, without an answer; 0 for none. */
        long lateStartMs;

        /** The number of runs beyond which a start overloads it. */
        int maxRuns = Integer.MAX_VALUE;

        boolean fails;
        /** Whether another worker answers at its address. */
        boolean otherAnswers;
        /** Whether stops are lost on their way to it. */
        boolean stopsLost;
        /** Whether polls get no answer, while it takes other orders. */
        boolean pollsLost;
        /** Whether it carries out polls, but their answers are lost. */
        boolean pollAnswersLost;
        /** Whether it carries out starts, but their answers are lost. */
        boolean startAnswersLost;
        /** Whether it carries out orders for the pace, but their answers are lost. */
        boolean paceAnswersLost;
        /** Whether each call to it throws an exception, against the contract of the driver. */
        boolean throwing;
        /** Whether it refuses starts for lack of room. */
        boolean full;
        /** The measurement of a running task in a poll: tail latency or processor in use. */
        ToDoubleFunction<TaskKey> figure = task -> -1;

        Incarnation(WorkerInfo info) {
            this.info = info;
        }

        long clockMs() {
            return loop.nowMs() - clockBehindMs;
        }

        /** Extends its lease to a time on its clock, at most to the longest that it accepts. */
        void extendLease(long deadlineMs) {
            long acceptedMs = Math.min(deadlineMs, clockMs() + TermRig.SETTINGS.maxLeaseMs());
            leaseMs = Math.max(leaseMs, acceptedMs + clockBehindMs);
        }

        void crash() {
            up = false;
            running.clear();
        }
    }

    final ManualLoop loop;
    final Map<String, Incarnation> incarnations = new HashMap<>();
    final List<String> faults = new ArrayList<>();
    final Map<TaskKey, Integer> starts = new HashMap<>();
    final Map<TaskKey, Integer> paces = new HashMap<>();
    /** Run time of a task. */
    long taskMs = TASK_MS;
    /** Whether running tasks are at work, as polls show it; otherwise they make progress. */
    boolean atWork;
    /** How many ends the answer to a poll lists at most. */
    int endsPerPoll = Integer.MAX_VALUE;
    /** Tasks that crash each worker on which they start. */
    final Set<TaskKey> deadly = new HashSet<>();
    /** Time after which another worker takes the address of one that a task crashed. */
    long returnMs = 3000;

    private final Set<TaskKey> acknowledged = new HashSet<>();

    public FakeWorkers(ManualLoop loop) {
        this.loop = loop;
    }

    Incarnation add(String id, long processStartMs) {
        return add(id, processStartMs, "10.0.0.1:" + (1000 + incarnations.size()));
    }

    Incarnation add(String id, long processStartMs, String address) {
        Incarnation incarnation = new Incarnation(info(id, processStartMs, address, false, 1));
        incarnations.put(id, incarnation);
        loop.term.announce(incarnation.info);
        return incarnation;
    }

    /**
     * Starts a worker again under its id and address, with a clock that begins at 0; the leader learns of it by later
     * heartbeats and answers only.
     */
    Incarnation restart(String id, long processStartMs) {
        Incarnation incarnation = new Incarnation(
                info(id, processStartMs, incarnations.get(id).info.address(), false, 1));
        incarnation.clockBehindMs = loop.nowMs();
        incarnations.put(id, incarnation);
        return incarnation;
    }

    WorkerInfo info(String id, long processStartMs, String address, boolean draining, long sequence) {
        return info(id, processStartMs, address, draining, OptionalLong.empty(), sequence);
    }

    WorkerInfo info(
            String id, long processStartMs, String address, boolean draining, OptionalLong remainingMs, long sequence) {
        return new WorkerInfo(
                id,
                processStartMs,
                address,
                "z",
                "pool",
                draining,
                remainingMs,
                0,
                cpuMillis.getOrDefault(id, CPU_MILLIS),
                16_000,
                0,
                List.of(labels.getOrDefault(id, "a"), "r1"),
                clockMs(id, processStartMs),
                sequence);
    }

    private long clockMs(String id, long processStartMs) {
        Incarnation incarnation = incarnations.get(id);
        return incarnation != null && incarnation.info.processStartMs() == processStartMs
                ? incarnation.clockMs()
                : loop.nowMs();
    }

    /** Sends a heartbeat of each worker that is up and not silent. */
    void beat(long sequence) {
        incarnations.values().stream()
                .filter(incarnation -> incarnation.up && !incarnation.silent)
                .forEach(incarnation -> loop.term.announce(info(
                        incarnation.info.id(),
                        incarnation.info.processStartMs(),
                        incarnation.info.address(),
                        false,
                        sequence)));
    }

    private Incarnation at(WorkerInfo worker) {
        Incarnation incarnation = incarnations.get(worker.id());
        if (incarnation.throwing) {
            throw new IllegalArgumentException("the worker " + worker.id() + " cannot be called");
        }
        if (loop.nowMs() > incarnation.leaseMs && !incarnation.running.isEmpty()) {
            List.copyOf(incarnation.running.keySet()).forEach(task -> end(incarnation, task, RunEnd.LAPSED));
        }
        return incarnation;
    }

    private <T> CompletableFuture<T> answer(Incarnation incarnation, T answer, T silence) {
        CompletableFuture<T> future = new CompletableFuture<>();
        boolean lost = !incarnation.otherAnswers && (incarnation.silent || !incarnation.up);
        loop.later(lost ? SILENCE_MS : CALL_MS, () -> future.complete(lost ? silence : answer));
        return future;
    }

    private <T> CompletableFuture<T> later(long delayMs, T answer) {
        CompletableFuture<T> future = new CompletableFuture<>();
        loop.later(delayMs, () -> future.complete(answer));
        return future;
    }

    private static Answer answer(Reply reply, Incarnation incarnation) {
        return new Answer(reply, OptionalLong.of(incarnation.clockMs()));
    }

    @Override
    public CompletableFuture<Answer> start(WorkerInfo worker, StartOrder order) {
        Incarnation incarnation = at(worker);
        Answer silence = new Answer(Reply.NO_ANSWER, OptionalLong.empty());
        if (incarnation.otherAnswers) {
            Answer refusal = new Answer(Reply.OTHER_LIFE, OptionalLong.empty());
            return answer(incarnation, refusal, refusal);
        }
        if (incarnation.lateStartMs > 0) {
            loop.later(incarnation.lateStartMs, () -> carryOut(incarnations.get(worker.id()), order));
            return later(SILENCE_MS, silence);
        }
        if (!incarnation.up || incarnation.silent) {
            return answer(incarnation, silence, silence);
        }
        Answer answer = answer(carryOut(incarnation, order), incarnation);
        return incarnation.startAnswersLost ? later(SILENCE_MS, silence) : answer(incarnation, answer, silence);
    }

    private Reply carryOut(Incarnation incarnation, StartOrder order) {
        at(incarnation.info);
        if (!incarnation.up || order.fence() < incarnation.fence) {
            return Reply.FENCED;
        }
        incarnation.fence = order.fence();
        if (Integer.valueOf(order.runId()).equals(incarnation.running.get(order.task()))) {
            return Reply.OK;
        }
        if (order.runId() <= incarnation.highest.getOrDefault(order.task(), 0)) {
            return Reply.OLD;
        }
        if (order.deadlineMs() < incarnation.clockMs()) {
            return Reply.LATE;
        }
        if (incarnation.full) {
            return Reply.NO_ROOM;
        }
        check(order);
        incarnation.extendLease(order.deadlineMs());
        incarnation.running.put(order.task(), order.runId());
        incarnation.highest.put(order.task(), order.runId());
        starts.merge(order.task(), 1, Integer::sum);
        if (incarnation.running.size() > incarnation.maxRuns) {
            faults.add(order.task().text() + " overloads its worker");
        }
        loop.later(taskMs, () -> finish(incarnation, order));
        if (deadly.contains(order.task())) {
            loop.later(CRASH_MS, () -> crashAndReturn(incarnation));
        }
        return Reply.OK;
    }

    void crashAndReturn(Incarnation incarnation) {
        if (incarnation.up) {
            incarnation.crash();
            WorkerInfo info = incarnation.info;
            loop.later(returnMs, () -> add(info.id() + "'", info.processStartMs() + 1, info.address()));
        }
    }

    private void check(StartOrder order) {
        incarnations.values().stream()
                .filter(other -> other.up && other.running.containsKey(order.task()) && loop.nowMs() <= other.leaseMs)
                .forEach(other -> faults.add(order.task().text() + " runs twice"));
        if (acknowledged.contains(order.task())) {
            faults.add(order.task().text() + " starts after its end");
        }
    }

    private void finish(Incarnation incarnation, StartOrder order) {
        at(incarnation.info);
        if (incarnation.up && Integer.valueOf(order.runId()).equals(incarnation.running.get(order.task()))) {
            end(incarnation, order.task(), incarnation.fails ? RunEnd.FAILED : RunEnd.DONE);
        }
    }

    /** Lets a running task fail. */
    void fail(TaskKey task) {
        Incarnation incarnation = at(incarnations.values().stream()
                .filter(any -> any.running.containsKey(task))
                .findFirst()
                .orElseThrow()
                .info);
        end(incarnation, task, RunEnd.FAILED);
    }

    private void end(Incarnation incarnation, TaskKey task, RunEnd how) {
        Integer runId = incarnation.running.remove(task);
        incarnation.ended.add(new EndedRow(++incarnation.lastEnd, task, runId, how, ""));
    }

    @Override
    public CompletableFuture<Answer> stop(WorkerInfo worker, TaskKey task, int runId, long fence) {
        Incarnation incarnation = at(worker);
        if (incarnation.otherAnswers) {
            Answer refusal = new Answer(Reply.OTHER_LIFE, OptionalLong.empty());
            return answer(incarnation, refusal, refusal);
        }
        if (incarnation.stopsLost) {
            Answer silence = new Answer(Reply.NO_ANSWER, OptionalLong.empty());
            return answer(incarnation, silence, silence);
        }
        if (incarnation.up && !incarnation.silent && fence >= incarnation.fence) {
            incarnation.highest.merge(task, runId, Math::max);
            if (Integer.valueOf(runId).equals(incarnation.running.get(task))) {
                end(incarnation, task, RunEnd.STOPPED);
            }
        }
        return answer(incarnation, answer(Reply.OK, incarnation), new Answer(Reply.NO_ANSWER, OptionalLong.empty()));
    }

    @Override
    public CompletableFuture<PollResult> poll(WorkerInfo worker, PollOrder order) {
        Incarnation incarnation = at(worker);
        PollResult silence = PollResult.without(Reply.NO_ANSWER);
        if (incarnation.otherAnswers) {
            PollResult refusal = PollResult.without(Reply.OTHER_LIFE);
            return answer(incarnation, refusal, refusal);
        }
        if (!incarnation.up || incarnation.silent || incarnation.pollsLost || order.fence() < incarnation.fence) {
            return answer(incarnation, silence, silence);
        }
        incarnation.fence = order.fence();
        order.deadlineMs().ifPresent(incarnation::extendLease);
        incarnation.ended.stream()
                .filter(row -> row.number() <= order.notedThrough() && row.how() == RunEnd.DONE)
                .forEach(row -> acknowledged.add(row.task()));
        incarnation.ended.removeIf(row -> row.number() <= order.notedThrough());
        CompletableFuture<PollResult> future = new CompletableFuture<>();
        waitForEnd(incarnation, order.waitMs(), future);
        return future;
    }

    private void waitForEnd(Incarnation incarnation, long leftMs, CompletableFuture<PollResult> future) {
        if (leftMs > 0 && incarnation.ended.isEmpty()) {
            loop.later(10, () -> waitForEnd(incarnation, leftMs - 10, future));
            return;
        }
        at(incarnation.info);
        List<RunningRow> running = incarnation.running.entrySet().stream()
                .map(e -> new RunningRow(
                        e.getKey(),
                        e.getValue(),
                        "",
                        atWork ? 100 : (int) (loop.nowMs() % 97),
                        incarnation.figure.applyAsDouble(e.getKey())))
                .toList();
        PollResult pollResult = new PollResult(
                Reply.OK,
                OptionalLong.of(incarnation.info.processStartMs()),
                OptionalLong.of(incarnation.clockMs()),
                running,
                incarnation.ended.stream().limit(endsPerPoll).toList(),
                incarnation.ended.size() >= endsPerPoll);
        PollResult silence = PollResult.without(Reply.NO_ANSWER);
        answer(incarnation, incarnation.pollAnswersLost ? silence : pollResult, silence)
                .thenAccept(future::complete);
    }

    @Override
    public CompletableFuture<Answer> pace(WorkerInfo worker, TaskKey task, int runId, int percent, long fence) {
        Incarnation incarnation = at(worker);
        paces.put(task, percent);
        Answer silence = new Answer(Reply.NO_ANSWER, OptionalLong.empty());
        return answer(incarnation, incarnation.paceAnswersLost ? silence : answer(Reply.OK, incarnation), silence);
    }
}
