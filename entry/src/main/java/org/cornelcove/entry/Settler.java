package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;

/**
 * Submits a command until it is committed, with exponential backoff and a bounded number of attempts. The commands are
 * idempotent: recording an outcome and releasing a claim, both bound to this incarnation of the entry.
 */
final class Settler implements AutoCloseable {
    private static final long FIRST_PAUSE_MS = 100;
    private static final long MAX_PAUSE_MS = 5_000;
    private static final int MAX_ATTEMPTS = 40;
    private static final long ANSWER_TIMEOUT_MS = 5_000;

    private final ControlLink control;
    private final ScheduledExecutorService pauses = Executors.newSingleThreadScheduledExecutor(Settler::thread);

    Settler(ControlLink control) {
        this.control = control;
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "entry-settler");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the command's outcome; fails when all {@value #MAX_ATTEMPTS} attempts have failed. */
    CompletableFuture<Outcome> settle(Command command) {
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        attempt(command, 1, FIRST_PAUSE_MS, result);
        return result;
    }

    private void attempt(Command command, int number, long pauseMs, CompletableFuture<Outcome> result) {
        control.execute(command)
                .copy()
                .orTimeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenComplete((outcome, error) -> {
                    if (error == null) {
                        result.complete(outcome);
                    } else if (number >= MAX_ATTEMPTS || pauses.isShutdown()) {
                        result.completeExceptionally(error);
                    } else {
                        long next = Math.min(MAX_PAUSE_MS, pauseMs * 2);
                        pauses.schedule(
                                () -> attempt(command, number + 1, next, result), pauseMs, TimeUnit.MILLISECONDS);
                    }
                });
    }

    @Override
    public void close() {
        pauses.shutdownNow();
    }
}
