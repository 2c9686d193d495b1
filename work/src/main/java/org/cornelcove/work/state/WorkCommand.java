package org.cornelcove.work.state;

import java.util.List;

import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.Interference;

/** A change of the durable state. */
public sealed interface WorkCommand {
    /**
     * Replaces the rules where the version is higher than the one held.
     *
     * @param rules the new rules
     */
    record Configure(WorkRules rules) implements WorkCommand {}

    /**
     * Accepts a job; the same id again changes nothing.
     *
     * @param spec the job
     * @param queue the queue that took it
     * @param atMs Unix time of the leader
     */
    record Submit(JobSpec spec, QueueRule queue, long atMs) implements WorkCommand {}

    /**
     * Cancels a job that has not ended.
     *
     * @param jobId the job
     * @param atMs Unix time of the leader
     */
    record Cancel(String jobId, long atMs) implements WorkCommand {}

    /**
     * Notes that a run may be started from now on.
     *
     * @param task the task
     * @param runId the run
     * @param worker the worker that will be told
     * @param born which life of that worker
     * @param atMs Unix time of the leader
     */
    record Start(TaskKey task, int runId, String worker, long born, long atMs) implements WorkCommand {}

    /**
     * Notes how a run ended.
     *
     * @param task the task
     * @param runId the run
     * @param how how it ended
     * @param checkpoint its saved progress, empty when there is none
     * @param atMs Unix time of the leader
     */
    record End(TaskKey task, int runId, RunEnd how, String checkpoint, long atMs) implements WorkCommand {}

    /**
     * Notes a new life of a worker, so that the next leader can call it before it is heard.
     *
     * @param worker what it said first
     */
    record Hello(WorkerInfo worker) implements WorkCommand {}

    /**
     * Drops a life of a worker that is over.
     *
     * @param worker the worker
     * @param bornMs the life
     */
    record Farewell(String worker, long bornMs) implements WorkCommand {}

    /**
     * Keeps what was learned about images, so that the next leader need not learn it anew.
     *
     * @param pairs all that is known
     */
    record Learned(List<Interference.Pair> pairs) implements WorkCommand {}

    /**
     * Drops a job that ended long ago.
     *
     * @param jobId the job
     */
    record Forget(String jobId) implements WorkCommand {}
}
