package org.cornelcove.work.lead;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.plan.PaceControl;
import org.cornelcove.work.state.Job;

/** A committed run as its leader sees it. Used on the leader's loop only. */
final class ActiveRun {
    /** How far an order has come. */
    enum Stage {
        /** Its start is not committed yet. */
        COMMITTING,
        /** Its worker was told, or is told again, to start it. */
        STARTING,
        /** Its worker has it, or had it. */
        CONFIRMED,
        /** A leader before this one started it; only a look tells whether it is there. */
        INHERITED
    }

    /** A pace that only an earlier leader knew. */
    static final int UNKNOWN_PACE = -1;

    final Job job;
    final TaskKey task;
    final int runId;
    final Worker worker;
    final StepSpec step;
    final long createdMs;
    Stage stage;
    /** Start orders that got no answer and may still be carried out. */
    int unanswered;
    /** When the worker's newest word about it came: a look sent after this must list it. */
    long confirmedMs;

    boolean stopWanted;
    boolean stopUnderWay;
    boolean stopAnswered;
    long stopDueMs;
    boolean endProposed;
    int percent = -1;
    long progressMs;
    double figure = -1;
    /** The pace that the worker was told; {@link #UNKNOWN_PACE} where an earlier leader told it. */
    int pacePercent;

    long pausedSinceMs;
    /** The first look of those on end that showed a lasting task over its target; 0 when the last one did not. */
    long overSinceMs;
    /** Whether a lasting task stayed over its target while no fill work beside it moved. */
    boolean overByItself;

    ActiveRun(Job job, TaskKey task, int runId, Worker worker, Stage stage, long nowMs) {
        this.job = job;
        this.task = task;
        this.runId = runId;
        this.worker = worker;
        this.step = job.spec().steps().get(task.step());
        this.stage = stage;
        this.pacePercent = stage == Stage.INHERITED ? UNKNOWN_PACE : PaceControl.FULL_PERCENT;
        this.createdMs = nowMs;
        this.progressMs = nowMs;
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
