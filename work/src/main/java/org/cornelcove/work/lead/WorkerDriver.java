package org.cornelcove.work.lead;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;

/** Calls workers. Each future completes, with {@link Reply#NO_ANSWER} at the latest at the call's timeout. */
public interface WorkerDriver {
    /** How a worker answered a call. */
    enum Reply {
        /** Done, or already so. */
        OK,
        /** It has seen a higher fence. */
        FENCED,
        /** The run is not higher than one that was stopped or ended there. */
        OLD,
        /** The deadline has passed on its clock. */
        LATE,
        /** The task does not fit. */
        NO_ROOM,
        /** Another life of the worker answered. */
        OTHER_LIFE,
        /** It is unhealthy and did nothing. */
        UNHEALTHY,
        /** It could not make sense of the call, and did nothing. */
        INVALID,
        /** Nothing was sent. */
        NOT_SENT,
        /** The call may or may not have been carried out, or may be later. */
        NO_ANSWER
    }

    /**
     * The answer to an order.
     *
     * @param reply how it was answered
     * @param clockMs the worker's clock, where it told
     */
    record Answer(Reply reply, OptionalLong clockMs) {}

    /**
     * One task to start.
     *
     * @param task the task
     * @param runId the run
     * @param taskText the caller's text
     * @param checkpoint saved progress, empty for none
     * @param deadlineMs the end of the lease on the worker's clock
     * @param fence rises with each leader
     */
    record StartOrder(TaskKey task, int runId, String taskText, String checkpoint, long deadlineMs, long fence) {}

    /**
     * A renewal of the lease, and a look.
     *
     * @param fence rises with each leader
     * @param notedThrough the newest end that was noted
     * @param deadlineMs the end of the lease on the worker's clock, empty to leave it as it is
     * @param waitMs how long the worker may wait for an end before it answers
     */
    record HoldOrder(long fence, long notedThrough, OptionalLong deadlineMs, long waitMs) {}

    /**
     * A run that is there.
     *
     * @param task the task
     * @param runId the run
     * @param checkpoint saved progress
     * @param percent how far it is; for a lasting task, 100 when it is at work
     * @param figure a lasting task's tail latency in milliseconds, or the processor in use
     */
    record RunningRow(TaskKey task, int runId, String checkpoint, int percent, double figure) {}

    /**
     * A run that ended there.
     *
     * @param number the number of the end in this life of the worker
     * @param task the task
     * @param runId the run
     * @param how how it ended
     * @param checkpoint saved progress
     */
    record EndedRow(long number, TaskKey task, int runId, RunEnd how, String checkpoint) {}

    /**
     * The answer to a look.
     *
     * @param reply how it was answered; the rest is empty unless {@code OK}
     * @param bornMs the life that answered, where it told
     * @param clockMs the worker's clock, where it told
     * @param running what runs
     * @param ended what ended and was not noted
     */
    record Look(
            Reply reply, OptionalLong bornMs, OptionalLong clockMs, List<RunningRow> running, List<EndedRow> ended) {}

    /**
     * Tells a worker to start a task.
     *
     * @param worker the worker
     * @param order what to do
     * @return how it was answered
     */
    CompletableFuture<Answer> start(WorkerInfo worker, StartOrder order);

    /**
     * Tells a worker to stop a run; a run that is not there yet is refused from then on.
     *
     * @param worker the worker
     * @param task the task
     * @param runId the run's number
     * @param fence rises with each leader
     * @return how it was answered
     */
    CompletableFuture<Answer> stop(WorkerInfo worker, TaskKey task, int runId, long fence);

    /**
     * Renews the lease of all that runs on a worker, and looks.
     *
     * @param worker the worker
     * @param order what to do
     * @return how it was answered
     */
    CompletableFuture<Look> hold(WorkerInfo worker, HoldOrder order);

    /**
     * Lets a task work at a share of its speed.
     *
     * @param worker the worker
     * @param task the task
     * @param runId the run's number
     * @param percent the share of its speed
     * @param fence rises with each leader
     * @return how it was answered
     */
    CompletableFuture<Answer> pace(WorkerInfo worker, TaskKey task, int runId, int percent, long fence);
}
