package org.cornelcove.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.cornelcove.policy.queue.QueuedRequest;

/**
 * The state of one request in the dispatcher: waiting, started at a target or another entry, or ended.
 *
 * <p>{@code WAITING} and {@code STARTED} may alternate while attempts are proved not run; {@code ENDED} is final, and
 * the thread that sets it completes the answer. All transitions use compare-and-set, so a deadline that passes during a
 * start either prevents the start or ends a started run.
 */
final class Run {
    private final ServiceRequest request;
    private final String kind;
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
    private volatile DeadlineWheel.Timer timer;
    private volatile TargetCall call;
    private volatile OwnedTarget lastFailed;
    private volatile int attempts;
    /** Whether an attempt ended without an answer, so that no later refusal proves that the request did not run. */
    private volatile boolean mayHaveRun;

    private volatile long startedNs;
    private QueuedRequest<Run> place;

    private enum Stage {
        WAITING,
        STARTED,
        ENDED
    }

    Run(ServiceRequest request) {
        this.request = request;
        kind = request.workKind();
    }

    ServiceRequest request() {
        return request;
    }

    /** Returns the kind of work, the key under which run times are recorded. */
    String kind() {
        return kind;
    }

    /** Returns its place in the queue of its service; guarded by the lock of the {@link ServiceLine}. */
    QueuedRequest<Run> place() {
        return place;
    }

    void queuedAt(QueuedRequest<Run> newPlace) {
        place = newPlace;
    }

    CompletableFuture<Answer> answer() {
        return answer;
    }

    int attempts() {
        return attempts;
    }

    long startedNs() {
        return startedNs;
    }

    Optional<OwnedTarget> lastFailed() {
        return Optional.ofNullable(lastFailed);
    }

    boolean hasEnded() {
        return stage.get() == Stage.ENDED;
    }

    void setDeadlineTimer(DeadlineWheel.Timer deadline) {
        timer = deadline;
        if (hasEnded()) {
            deadline.cancel();
        }
    }

    /** Moves from waiting to started; returns false if the run has ended. */
    boolean start(long nowNs) {
        if (!stage.compareAndSet(Stage.WAITING, Stage.STARTED)) {
            return false;
        }
        startedNs = nowNs;
        return true;
    }

    /** Counts an attempt and sets its call, which is aborted at the deadline. */
    void startAttempt(TargetCall newCall) {
        attempts++;
        call = newCall;
    }

    Optional<TargetCall> call() {
        return Optional.ofNullable(call);
    }

    /** Moves back to waiting after an attempt that was proved not run; the target is null for a peer entry. */
    boolean requeue(OwnedTarget failed) {
        lastFailed = failed;
        call = null;
        return stage.compareAndSet(Stage.STARTED, Stage.WAITING);
    }

    /** Moves back to waiting after an attempt whose answer was lost; only for a request that may run again. */
    boolean requeueAfterLostAnswer() {
        mayHaveRun = true;
        return requeue(null);
    }

    /** Ends a waiting run; returns false if it is in another state. */
    boolean endWaiting(Answer result) {
        return stage.compareAndSet(Stage.WAITING, Stage.ENDED) && complete(result);
    }

    /** Ends a started run; returns false if it is in another state. */
    boolean endStarted(Answer result) {
        return stage.compareAndSet(Stage.STARTED, Stage.ENDED) && complete(result);
    }

    private boolean complete(Answer result) {
        DeadlineWheel.Timer deadline = timer;
        if (deadline != null) {
            deadline.cancel();
        }
        answer.complete(mayHaveRun ? result.orMayHaveRun() : result);
        return true;
    }
}
