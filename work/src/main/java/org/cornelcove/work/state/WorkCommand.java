package org.cornelcove.work.state;

import java.util.List;

import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.Interference;

/** A command that changes the replicated state. */
public sealed interface WorkCommand {
    /**
     * Replaces the rules if the new version is higher than the current one.
     *
     * @param rules the new rules
     */
    record Configure(WorkRules rules) implements WorkCommand {}

    /**
     * Accepts a job. A repeated id has no effect.
     *
     * @param spec the job
     * @param queue the rule of the queue that accepted it
     * @param atMs when, in Unix milliseconds by the leader's clock
     */
    record Submit(JobSpec spec, QueueRule queue, long atMs) implements WorkCommand {}

    /**
     * Cancels a job that has not ended.
     *
     * @param jobId the id of the job
     * @param atMs when, in Unix milliseconds by the leader's clock
     */
    record Cancel(String jobId, long atMs) implements WorkCommand {}

    /**
     * Records a run before its worker is ordered to start it.
     *
     * @param task the task
     * @param runId the number of the run, higher than any earlier one of the task
     * @param worker the id of the worker that will run it
     * @param workerStartMs the start time of that worker process, which tells restarts apart
     * @param atMs when, in Unix milliseconds by the leader's clock
     */
    record Start(TaskKey task, int runId, String worker, long workerStartMs, long atMs) implements WorkCommand {}

    /**
     * Records the end of a run.
     *
     * @param task the task
     * @param runId the number of the run
     * @param how how the run ended
     * @param checkpoint the saved progress, empty when there is none
     * @param atMs when, in Unix milliseconds by the leader's clock
     */
    record End(TaskKey task, int runId, RunEnd how, String checkpoint, long atMs) implements WorkCommand {}

    /**
     * Records that a task is blamed for the crash of the worker that ran it. A task that crashed several workers fails its
     * job.
     *
     * @param task the task
     * @param runId the number of the run that the worker had
     * @param atMs when, in Unix milliseconds by the leader's clock
     */
    record RecordCrash(TaskKey task, int runId, long atMs) implements WorkCommand {}

    /**
     * Records a started or restarted worker, so that the next leader can call it before its first heartbeat.
     *
     * @param worker the first heartbeat of the worker process
     */
    record RecordWorker(WorkerInfo worker) implements WorkCommand {}

    /**
     * Removes a worker process that has ended. A newer process of the same worker stays registered.
     *
     * @param worker the id of the worker
     * @param workerStartMs the start time of the worker process, in Unix milliseconds
     */
    record DropWorker(String worker, long workerStartMs) implements WorkCommand {}

    /**
     * Stores the observed interference between images, so that the next leader need not observe it again.
     *
     * @param pairs all observed pairs; they replace the stored ones
     */
    record RecordInterference(List<Interference.Pair> pairs) implements WorkCommand {}

    /**
     * Removes a job whose retention period has expired.
     *
     * @param jobId the id of the job
     */
    record RemoveJob(String jobId) implements WorkCommand {}
}
