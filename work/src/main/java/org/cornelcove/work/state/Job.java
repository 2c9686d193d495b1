package org.cornelcove.work.state;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.TaskKey;

/** One accepted job. Changed only by {@link WorkState}. */
public final class Job {
    final JobSpec spec;
    final QueueRule acceptedBy;
    final long submittedMs;
    /** The queue under the rules of {@link #queueVersion}, so that it is looked up once a version. */
    QueueRule queue;

    long queueVersion = -1;
    JobPhase phase = JobPhase.QUEUED;
    long endedMs;
    int doneOccurrences;
    final Map<Integer, Occurrence> occurrences = new TreeMap<>();

    Job(JobSpec spec, QueueRule acceptedBy, long submittedMs) {
        this.spec = spec;
        this.acceptedBy = acceptedBy;
        this.submittedMs = submittedMs;
    }

    /**
     * Returns what was submitted.
     *
     * @return what was submitted
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Returns the queue as it was when the job was accepted.
     *
     * @return the queue as it was when the job was accepted
     */
    public QueueRule acceptedBy() {
        return acceptedBy;
    }

    /**
     * Returns when the job was accepted, Unix time of the leader.
     *
     * @return when the job was accepted, Unix time of the leader
     */
    public long submittedMs() {
        return submittedMs;
    }

    /**
     * Returns where the job stands.
     *
     * @return where the job stands
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns when the job ended, Unix time of the leader.
     *
     * @return when the job ended, Unix time of the leader
     */
    public long endedMs() {
        return endedMs;
    }

    /**
     * Returns the occurrences of which a task was started.
     *
     * @return the occurrences of which a task was started
     */
    public Map<Integer, Occurrence> occurrences() {
        return occurrences;
    }

    /**
     * Returns an occurrence, without a run when nothing of it was started.
     *
     * @param number the occurrence, counted from 0
     * @return an occurrence, without a run when nothing of it was started
     */
    public Occurrence occurrence(int number) {
        return occurrences.computeIfAbsent(number, any -> new Occurrence(spec.steps()));
    }

    /**
     * Finds a task.
     *
     * @param key the key
     * @return a task
     */
    public Optional<Task> task(TaskKey key) {
        boolean known = key.occurrence() >= 0
                && key.occurrence() < spec.schedule().occurrences()
                && key.step() >= 0
                && key.step() < spec.steps().size()
                && key.index() >= 0
                && key.index() < spec.steps().get(key.step()).count();
        return known ? Optional.of(occurrence(key.occurrence()).tasks[key.step()][key.index()]) : Optional.empty();
    }
}
