package org.cornelcove.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.cornelcove.policy.queue.Waiting;

/**
 * One request on its way through the dispatcher: it waits, is with a target or another entry, and ends once.
 *
 * <p>{@code WAITING} and {@code STARTED} may alternate while attempts are proved not run; {@code ENDED} is final and
 * whoever reaches it gives the answer. All steps are compare-and-set, so a deadline that passes at the very moment of a
 * start either stops the start or ends a started run, never half of each.
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
    private volatile long startedNs;
    private Waiting<Run> place;

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

    /** Returns the kind of work, by which run times are learned. */
    String kind() {
        return kind;
    }

    /** Returns its place in the queue of its service; guarded by the lock of the {@link ServiceLine}. */
    Waiting<Run> place() {
        return place;
    }

    void queuedAt(Waiting<Run> newPlace) {
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

    void watch(DeadlineWheel.Timer deadline) {
        timer = deadline;
        if (hasEnded()) {
            deadline.cancel();
        }
    }

    /** Passes from waiting to started; false when the run has ended. */
    boolean start(long nowNs) {
        if (!stage.compareAndSet(Stage.WAITING, Stage.STARTED)) {
            return false;
        }
        startedNs = nowNs;
        return true;
    }

    /** Counts a call to a target; the deadline gives it up. */
    void calling(TargetCall newCall) {
        attempts++;
        call = newCall;
    }

    Optional<TargetCall> call() {
        return Optional.ofNullable(call);
    }

    /** Passes back to waiting after an attempt that was proved not run. */
    boolean waitAgain(OwnedTarget failed) {
        lastFailed = failed;
        call = null;
        return stage.compareAndSet(Stage.STARTED, Stage.WAITING);
    }

    /** Ends a run that still waits. */
    boolean endWaiting(Answer last) {
        return stage.compareAndSet(Stage.WAITING, Stage.ENDED) && give(last);
    }

    /** Ends a started run. */
    boolean endStarted(Answer last) {
        return stage.compareAndSet(Stage.STARTED, Stage.ENDED) && give(last);
    }

    private boolean give(Answer last) {
        DeadlineWheel.Timer deadline = timer;
        if (deadline != null) {
            deadline.cancel();
        }
        answer.complete(last);
        return true;
    }
}
