package org.cornelcove.work.lead;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;

/**
 * Upholds the contract of {@link WorkerDriver} for any driver: an exception, whether thrown or carried by the future, is
 * logged and becomes {@link WorkerDriver.Reply#NO_ANSWER}, since the call may have been sent.
 */
final class ConfinedDriver implements WorkerDriver {
    private static final Answer NO_ANSWER = new Answer(Reply.NO_ANSWER, OptionalLong.empty());

    private final WorkerDriver driver;

    ConfinedDriver(WorkerDriver driver) {
        this.driver = driver;
    }

    @Override
    public CompletableFuture<Answer> start(WorkerInfo worker, StartOrder order) {
        return confined("start", worker, () -> driver.start(worker, order), NO_ANSWER);
    }

    @Override
    public CompletableFuture<Answer> stop(WorkerInfo worker, TaskKey task, int runId, long fence) {
        return confined("stop", worker, () -> driver.stop(worker, task, runId, fence), NO_ANSWER);
    }

    @Override
    public CompletableFuture<PollResult> poll(WorkerInfo worker, PollOrder order) {
        return confined("poll", worker, () -> driver.poll(worker, order), PollResult.without(Reply.NO_ANSWER));
    }

    @Override
    public CompletableFuture<Answer> pace(WorkerInfo worker, TaskKey task, int runId, int percent, long fence) {
        return confined("pace", worker, () -> driver.pace(worker, task, runId, percent, fence), NO_ANSWER);
    }

    private static <T> CompletableFuture<T> confined(
            String what, WorkerInfo worker, Supplier<CompletableFuture<T>> call, T otherwise) {
        CompletableFuture<T> answer;
        try {
            answer = call.get();
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(thrown -> {
            FaultBarrier.log(what + " of a run on " + worker.id(), thrown);
            return otherwise;
        });
    }
}
