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
        /** The run number is not above that of a run that was stopped or ended there. */
        OLD,
        /** The deadline has passed on the worker's clock. */
        LATE,
        /** The task does not fit. */
        NO_ROOM,
        /** Another incarnation of the worker answered. */
        OTHER_LIFE,
        /** It is unhealthy and did nothing. */
        UNHEALTHY,
        /** The call is malformed; the worker did nothing. */
        INVALID,
        /** Nothing was sent. */
        NOT_SENT,
        /** The call may have been carried out, or may be carried out later. */
        NO_ANSWER
    }

    /**
     * The answer to an order.
     *
     * @param reply the result of the order
     * @param clockMs the worker's clock, empty if the answer has none
     */
    record Answer(Reply reply, OptionalLong clockMs) {}

    /**
     * One task to start.
     *
     * @param task the task
     * @param runId the run
     * @param taskText the text that the caller submitted for the tasks
     * @param checkpoint saved progress, empty for none
     * @param deadlineMs the end of the lease on the worker's clock
     * @param fence the fence of the leader, which increases with each term
     */
    record StartOrder(TaskKey task, int runId, String taskText, String checkpoint, long deadlineMs, long fence) {}

    /**
     * A poll that may also renew the lease.
     *
     * @param fence the fence of the leader, which increases with each term
     * @param notedThrough the newest end up to which all ends are committed
     * @param deadlineMs the end of the lease on the worker's clock, empty to keep the current one
     * @param waitMs how long the worker may wait for an end before it answers
     */
    record PollOrder(long fence, long notedThrough, OptionalLong deadlineMs, long waitMs) {}

    /**
     * A run that is active on the worker.
     *
     * @param task the task
     * @param runId the run
     * @param checkpoint saved progress
     * @param percent the progress; for a lasting task, 100 when it is at work
     * @param figure a lasting task's tail latency in milliseconds, or the processor in use in thousandths of a core;
     *     negative if not measured
     */
    record RunningRow(TaskKey task, int runId, String checkpoint, int percent, double figure) {}

    /**
     * A run that ended on the worker.
     *
     * @param number the number of the end in this incarnation of the worker
     * @param task the task
     * @param runId the run
     * @param how how it ended
     * @param checkpoint saved progress
     */
    record EndedRow(long number, TaskKey task, int runId, RunEnd how, String checkpoint) {}

    /**
     * The answer to a poll.
     *
     * @param reply the result of the poll; the rest is empty unless {@code OK}
     * @param processStartMs the incarnation that answered, empty if the answer has none
     * @param clockMs the worker's clock, empty if the answer has none
     * @param running the active runs
     * @param ended the ended runs that were not acknowledged, by their numbers
     * @param moreEnded whether further ended runs may follow once these are acknowledged; only without them does the absence
     *     of a run from both lists prove that the worker does not have it
     */
    record PollResult(
            Reply reply,
            OptionalLong processStartMs,
            OptionalLong clockMs,
            List<RunningRow> running,
            List<EndedRow> ended,
            boolean moreEnded) {
        /**
         * Returns the result of a poll that listed nothing.
         *
         * @param reply the result of the poll, not {@code OK}
         * @return the result
         */
        public static PollResult without(Reply reply) {
            return new PollResult(reply, OptionalLong.empty(), OptionalLong.empty(), List.of(), List.of(), true);
        }
    }

    /**
     * Orders a worker to start a task.
     *
     * @param worker the worker
     * @param order the order
     * @return the answer
     */
    CompletableFuture<Answer> start(WorkerInfo worker, StartOrder order);

    /**
     * Orders a worker to stop a run; a run that has not arrived yet is refused from then on.
     *
     * @param worker the worker
     * @param task the task
     * @param runId the run's number
     * @param fence the fence of the leader, which increases with each term
     * @return the answer
     */
    CompletableFuture<Answer> stop(WorkerInfo worker, TaskKey task, int runId, long fence);

    /**
     * Polls a worker, and renews the lease of all its runs if the order has a deadline. The order acknowledges no ends and renews
     * no lease of another incarnation than the one named, however late it arrives: that one may only be told from the result.
     *
     * @param worker the worker
     * @param order the order
     * @return the answer
     */
    CompletableFuture<PollResult> poll(WorkerInfo worker, PollOrder order);

    /**
     * Limits the speed of a task.
     *
     * @param worker the worker
     * @param task the task
     * @param runId the run's number
     * @param percent the share of its full speed
     * @param fence the fence of the leader, which increases with each term
     * @return the answer
     */
    CompletableFuture<Answer> pace(WorkerInfo worker, TaskKey task, int runId, int percent, long fence);
}
