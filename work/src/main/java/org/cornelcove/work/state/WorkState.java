package org.cornelcove.work.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.policy.quarantine.CrashBlame;
import org.cornelcove.replication.StateMachine;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.Interference;

/**
 * The replicated state machine: rules, jobs, runs, workers and observed interference. It refuses invalid commands from
 * any leader: a task that is done never runs again, a task without copies has at most one active run, and run numbers
 * increase.
 *
 * <p>A run is committed before its worker is ordered to start it, so that a new leader knows every run that may exist.
 * The alternative, asking all workers, would miss the runs of unreachable ones.
 *
 * <p>Guarded by its own monitor. The log applier modifies the state; the leader reads it under the same monitor.
 */
public final class WorkState implements StateMachine {
    /** Time without a crash after which earlier ones no longer count. */
    private static final long CRASH_MEMORY_MS = 600_000;

    private WorkRules rules = WorkRules.NONE;
    private List<Interference.Pair> interference = List.of();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    /** The same jobs by the host and the path under which they were accepted. */
    private final Map<String, Job> jobsByAddress = new HashMap<>();

    private final Map<String, WorkerInfo> workers = new LinkedHashMap<>();

    /**
     * Returns the rules in force.
     *
     * @return the rules, {@link WorkRules#NONE} before the first change
     */
    public synchronized WorkRules rules() {
        return rules;
    }

    /**
     * Returns all jobs in the order of their acceptance. The caller must hold this object's monitor.
     *
     * @return the jobs by id; not a copy
     */
    public Map<String, Job> jobs() {
        return jobs;
    }

    /**
     * Returns the interference between images that leaders have observed.
     *
     * @return the observed pairs, empty when there are none
     */
    public synchronized List<Interference.Pair> interference() {
        return interference;
    }

    /**
     * Returns the first heartbeat of the latest process of each worker. The caller must hold this object's monitor.
     *
     * @return the workers by id; not a copy
     */
    public Map<String, WorkerInfo> workers() {
        return workers;
    }

    /**
     * Finds a job.
     *
     * @param id the id of the job
     * @return the job, empty when it does not exist or was removed
     */
    public synchronized Optional<Job> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Finds the job that was accepted under a path, whether or not its queue still exists.
     *
     * @param host the host name that the caller used, in any case
     * @param path the path that the caller used: the prefix of the queue at that time followed by the job's id
     * @return the job, empty when it does not exist or was removed
     */
    public synchronized Optional<Job> jobAt(String host, String path) {
        return Optional.ofNullable(jobsByAddress.get(address(host, path)));
    }

    private static String address(String host, String path) {
        // A host name contains no slash, and a path starts with one.
        return host.toLowerCase(Locale.ROOT) + path;
    }

    private static String address(JobSpec spec) {
        return address(spec.host(), spec.pathPrefix() + spec.id());
    }

    /**
     * Returns the rule of the queue that a job belongs to.
     *
     * @param job the job
     * @return the current rule, or the one that accepted the job when the queue no longer exists
     */
    public synchronized QueueRule queueOf(Job job) {
        if (job.queueVersion != rules.version()) {
            job.queue = rules.queueAt(job.spec.host(), job.spec.pathPrefix()).orElse(job.acceptedBy);
            job.queueVersion = rules.version();
        }
        return job.queue;
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        List<WorkCommand> batch = CommandCodec.decode(command);
        byte[] verdicts = new byte[batch.size()];
        for (int i = 0; i < verdicts.length; i++) {
            verdicts[i] = (byte) apply(batch.get(i)).ordinal();
        }
        return verdicts;
    }

    private Verdict apply(WorkCommand command) {
        if (command instanceof WorkCommand.Start start) {
            return start(start);
        } else if (command instanceof WorkCommand.End end) {
            return end(end);
        } else if (command instanceof WorkCommand.RecordCrash crash) {
            return recordCrash(crash);
        } else if (command instanceof WorkCommand.Submit submit) {
            return submit(submit);
        } else if (command instanceof WorkCommand.Cancel cancel) {
            return cancel(cancel);
        } else if (command instanceof WorkCommand.Configure configure) {
            return configure(configure.rules());
        } else if (command instanceof WorkCommand.RecordWorker recordWorker) {
            return registerWorker(recordWorker.worker());
        } else if (command instanceof WorkCommand.DropWorker dropWorker) {
            return removeWorker(dropWorker);
        } else if (command instanceof WorkCommand.RecordInterference observed) {
            interference = observed.pairs();
            return Verdict.DONE;
        } else if (command instanceof WorkCommand.RemoveJob removeJob) {
            return removeJob(removeJob.jobId());
        }
        throw new IllegalStateException("unknown command " + command);
    }

    private Verdict submit(WorkCommand.Submit submit) {
        Job job = new Job(submit.spec(), submit.queue(), submit.atMs());
        if (jobs.putIfAbsent(submit.spec().id(), job) != null) {
            return Verdict.UNCHANGED;
        }
        jobsByAddress.put(address(submit.spec()), job);
        return Verdict.DONE;
    }

    private Verdict removeJob(String id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return Verdict.UNCHANGED;
        }
        jobsByAddress.remove(address(job.spec), job);
        return Verdict.DONE;
    }

    private Verdict registerWorker(WorkerInfo worker) {
        WorkerInfo known = workers.get(worker.id());
        if (known != null && known.processStartMs() >= worker.processStartMs()) {
            return Verdict.UNCHANGED;
        }
        workers.put(worker.id(), worker);
        return Verdict.DONE;
    }

    private Verdict removeWorker(WorkCommand.DropWorker dropWorker) {
        WorkerInfo known = workers.get(dropWorker.worker());
        if (known == null || known.processStartMs() != dropWorker.workerStartMs()) {
            return Verdict.UNCHANGED;
        }
        workers.remove(dropWorker.worker());
        return Verdict.DONE;
    }

    private Verdict configure(WorkRules next) {
        if (next.version() <= rules.version()) {
            return Verdict.UNCHANGED;
        }
        rules = next;
        return Verdict.DONE;
    }

    private Verdict cancel(WorkCommand.Cancel cancel) {
        Job job = jobs.get(cancel.jobId());
        if (job == null) {
            return Verdict.UNKNOWN;
        }
        if (job.phase.ended()) {
            return Verdict.UNCHANGED;
        }
        finish(job, JobPhase.CANCELLED, cancel.atMs());
        return Verdict.DONE;
    }

    private static void finish(Job job, JobPhase phase, long atMs) {
        job.phase = phase;
        job.endedMs = atMs;
    }

    private Verdict start(WorkCommand.Start start) {
        Job job = jobs.get(start.task().jobId());
        if (job == null) {
            return Verdict.UNKNOWN;
        }
        Optional<Task> found = job.task(start.task());
        if (found.isEmpty() || job.phase.ended()) {
            return Verdict.REFUSED;
        }
        Task task = found.get();
        StepSpec step = job.spec.steps().get(start.task().step());
        boolean hasActiveRun = !task.runs.isEmpty() && !step.copies();
        boolean dependenciesPending = !job.occurrence(start.task().occurrence()).stepReady(step);
        boolean attemptsExhausted =
                !step.lasting() && task.failures >= queueOf(job).attempts();
        if (task.done || hasActiveRun || dependenciesPending || attemptsExhausted || start.runId() <= task.lastRunId) {
            return Verdict.REFUSED;
        }
        task.lastRunId = start.runId();
        task.runs.add(new Run(start.runId(), start.worker(), start.workerStartMs(), start.atMs()));
        job.phase = JobPhase.RUNNING;
        return Verdict.DONE;
    }

    private Verdict end(WorkCommand.End end) {
        Job job = jobs.get(end.task().jobId());
        if (job == null) {
            return Verdict.UNKNOWN;
        }
        Optional<Task> found = job.task(end.task());
        if (found.isEmpty() || !found.get().runs.removeIf(r -> r.runId() == end.runId())) {
            return Verdict.UNCHANGED;
        }
        Task task = found.get();
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
        }
        StepSpec step = job.spec.steps().get(end.task().step());
        if (end.how() == RunEnd.DONE && !step.lasting()) {
            recordDone(job, end, step);
        } else if (end.how() == RunEnd.FAILED && !step.lasting()) {
            recordFailure(job, end, task, step);
        }
        return Verdict.DONE;
    }

    private Verdict recordCrash(WorkCommand.RecordCrash crash) {
        Job job = jobs.get(crash.task().jobId());
        if (job == null) {
            return Verdict.UNKNOWN;
        }
        Optional<Task> found = job.task(crash.task());
        if (found.isEmpty()
                || job.phase.ended()
                || found.get().done
                || crash.runId() <= found.get().lastCrashedRunId
                || crash.runId() > found.get().lastRunId) {
            return Verdict.UNCHANGED;
        }
        Task task = found.get();
        task.crashes = crash.atMs() - task.lastCrashMs > CRASH_MEMORY_MS ? 1 : task.crashes + 1;
        task.lastCrashedRunId = crash.runId();
        task.lastCrashMs = crash.atMs();
        if (task.crashes >= CrashBlame.MAX_CRASHES) {
            finish(job, JobPhase.FAILED, crash.atMs());
        }
        return Verdict.DONE;
    }

    private static void recordDone(Job job, WorkCommand.End end, StepSpec step) {
        Occurrence occurrence = job.occurrence(end.task().occurrence());
        if (occurrence.markDone(step, end.task().step(), end.task().index())) {
            job.doneOccurrences++;
            if (job.allOccurrencesDone() && !job.phase.ended()) {
                finish(job, JobPhase.COMPLETED, end.atMs());
            }
        }
    }

    private void recordFailure(Job job, WorkCommand.End end, Task task, StepSpec step) {
        job.occurrence(end.task().occurrence())
                .countFailure(step, end.task().step(), end.task().index(), end.runId());
        if (task.failures >= queueOf(job).attempts() && !task.done && !job.phase.ended()) {
            finish(job, JobPhase.FAILED, end.atMs());
        }
    }

    @Override
    public synchronized byte[] snapshot() {
        return StateCodec.encode(rules, interference, workers.values(), jobs.values());
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        Map<String, Job> newJobs = new LinkedHashMap<>();
        Map<String, WorkerInfo> newWorkers = new LinkedHashMap<>();
        List<Interference.Pair> pairs = new ArrayList<>();
        // A malformed snapshot throws here and leaves the state as it is.
        rules = StateCodec.decode(snapshot, pairs, newWorkers, newJobs);
        jobs.clear();
        jobs.putAll(newJobs);
        jobsByAddress.clear();
        newJobs.values().forEach(job -> jobsByAddress.put(address(job.spec), job));
        workers.clear();
        workers.putAll(newWorkers);
        interference = pairs;
    }
}
