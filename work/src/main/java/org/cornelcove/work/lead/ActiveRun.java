package org.cornelcove.work.lead;

import java.util.OptionalLong;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.plan.PaceControl;
import org.cornelcove.work.state.Job;

/** The leader's view of a run. Used on the leader's loop only. */
final class ActiveRun {
    /** The progress of the start of a run. */
    enum Stage {
        /** The start is not committed yet. */
        COMMITTING,
        /** A start order was sent, or is sent again. */
        STARTING,
        /** The worker has confirmed the run; it may have ended since. */
        CONFIRMED,
        /** An earlier leader started it; only a poll of the worker shows whether it exists. */
        INHERITED
    }

    /** Time at work after which a lasting task that fails does so by itself: it may fail at any time. */
    private static final long PROVEN_MS = 3000;

    /** How late an order without an answer may be carried out. */
    private static final long MAX_LATE_MS = 12_000;

    /** Placeholder for a pace that an earlier leader, or an order without an answer, may have set. */
    static final int UNKNOWN_PACE = -1;

    final Job job;
    final TaskKey task;
    final int runId;
    /** The worker that has it or may have it; a later incarnation of the one it was placed on, if that started again. */
    Worker worker;

    final StepSpec step;
    final long createdMs;
    Stage stage;
    /** Start orders that got no answer and may still be carried out. */
    int unanswered;
    /** Whether a start order of this leader or of an earlier one may still be carried out, whatever was answered since. */
    private boolean startInDoubt;
    /** When the last such order was sent at the latest, on the monotonic clock. */
    private long inDoubtSinceMs;
    /** Whether a poll has listed it, or its ends only in part, on the incarnation of the worker that it was placed on. */
    boolean listed;
    /** Since when the worker is known to have it, on the monotonic clock; empty before. */
    OptionalLong runningSinceMs = OptionalLong.empty();
    /** How often the task was blamed for the crash of a worker before this run. */
    final int crashes;
    /** When the worker last confirmed it: a poll sent after this time must list it. */
    long confirmedMs;

    boolean stopWanted;
    boolean stopPending;
    boolean stopAnswered;
    long stopDueMs;
    boolean endProposed;
    int percent = -1;
    long progressMs;
    /** Since when a lasting task is seen at work; 0 before. */
    long atWorkSinceMs;
    /** Whether a lasting task was at work for long enough to show that its worker is sound. */
    boolean proven;
    /** The latest {@link WorkerDriver.RunningRow#figure}; negative if there is none. */
    double figure = -1;
    /** The pace last ordered, in percent; {@link #UNKNOWN_PACE} if another one may be in force. */
    int pacePercent;

    long pausedSinceMs;
    /** Since when consecutive polls show a lasting task over its target; 0 if the last one did not. */
    long overSinceMs;
    /** Whether a lasting task stayed over its target while all fill work beside it was paused. */
    boolean overByOwnLoad;

    ActiveRun(Job job, TaskKey task, int runId, Worker worker, Stage stage, long nowMs) {
        this.job = job;
        this.task = task;
        this.runId = runId;
        this.worker = worker;
        this.step = job.spec().steps().get(task.step());
        this.stage = stage;
        this.pacePercent = stage == Stage.INHERITED ? UNKNOWN_PACE : PaceControl.FULL_PERCENT;
        this.createdMs = nowMs;
        this.startInDoubt = stage == Stage.INHERITED;
        this.inDoubtSinceMs = nowMs;
        this.crashes = job.task(task).orElseThrow().crashes();
        this.progressMs = nowMs;
    }

    void recordRunning(long nowMs) {
        if (runningSinceMs.isEmpty()) {
            runningSinceMs = OptionalLong.of(nowMs);
        }
    }

    boolean startInDoubt() {
        return startInDoubt;
    }

    /**
     * Records that a start order that was sent may still be carried out.
     *
     * @param nowMs the time on a monotonic clock
     */
    void doubtStart(long nowMs) {
        startInDoubt = true;
        inDoubtSinceMs = nowMs;
    }

    /**
     * Records that a poll lists it as active on its worker. No other incarnation can have it if this one was alive when the
     * last start order had been carried out at the latest.
     *
     * @param sentMs when the poll was sent, on the monotonic clock
     */
    void recordListed(long sentMs) {
        listed = true;
        startInDoubt &= sentMs < inDoubtSinceMs + MAX_LATE_MS;
    }

    /**
     * Returns for how long the worker was heard from after it had the run.
     *
     * @param heardMs when it was last heard from, on the monotonic clock
     * @return milliseconds, 0 before the worker has confirmed the run
     */
    long aliveMs(long heardMs) {
        return runningSinceMs.isPresent() ? Math.max(0, heardMs - runningSinceMs.getAsLong()) : 0;
    }

    /**
     * Records that a lasting task is at work.
     *
     * @param nowMs the time on a monotonic clock
     * @return whether that proves now that its worker is sound
     */
    boolean recordAtWork(long nowMs) {
        if (atWorkSinceMs == 0) {
            atWorkSinceMs = nowMs;
        }
        boolean provenNow = !proven && nowMs - atWorkSinceMs >= PROVEN_MS;
        proven |= provenNow;
        return provenNow;
    }

    /** Checks whether it was sent, and no poll has shown which incarnation of its worker has it. */
    boolean unlisted() {
        return stage != Stage.COMMITTING && !listed;
    }

    /** Checks whether a later incarnation of its worker may have it, or get it by an order that is still under way. */
    boolean mayHaveReachedSuccessor() {
        return stage != Stage.COMMITTING && !(listed && !startInDoubt);
    }

    /**
     * Moves the run to the later incarnation of its worker; only a poll of that one shows whether it exists.
     *
     * @param successor the later incarnation
     * @param nowMs the time on a monotonic clock
     */
    void moveTo(Worker successor, long nowMs) {
        worker = successor;
        listed = false;
        stopPending = false;
        stopAnswered = false;
        pacePercent = UNKNOWN_PACE;
        runningSinceMs = OptionalLong.empty();
        progressMs = nowMs;
        atWorkSinceMs = 0;
        proven = false;
    }

    boolean over() {
        return overSinceMs != 0;
    }

    boolean sameStep(TaskKey other) {
        return task.step() == other.step()
                && task.occurrence() == other.occurrence()
                && task.jobId().equals(other.jobId());
    }
}
