package org.cornelcove.work.state;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.TaskKey;

/** An accepted job. Modified only by {@link WorkState}. */
public final class Job {
    final JobSpec spec;
    final QueueRule acceptedBy;
    final long submittedMs;
    /** The queue under the rules of version {@link #queueVersion}; cached to look it up once per version. */
    QueueRule queue;

    long queueVersion = -1;
    JobPhase phase = JobPhase.QUEUED;
    long endedMs;
    /** The number of occurrences that are done. */
    int doneOccurrences;

    final Map<Integer, Occurrence> occurrences = new TreeMap<>();

    Job(JobSpec spec, QueueRule acceptedBy, long submittedMs) {
        this.spec = spec;
        this.acceptedBy = acceptedBy;
        this.submittedMs = submittedMs;
    }

    /**
     * Returns the submitted specification.
     *
     * @return the specification, unchanged since submission
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Returns the rule of the queue that accepted the job.
     *
     * @return the rule as of the submission; later rule changes do not affect it
     */
    public QueueRule acceptedBy() {
        return acceptedBy;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return Unix time in milliseconds, by the leader's clock
     */
    public long submittedMs() {
        return submittedMs;
    }

    /**
     * Returns the phase of the job.
     *
     * @return {@code QUEUED} until the first task starts
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns when the job ended.
     *
     * @return Unix time in milliseconds, by the leader's clock; 0 while the job has not ended
     */
    public long endedMs() {
        return endedMs;
    }

    /**
     * Returns the occurrences that have been accessed so far, in ascending order.
     *
     * @return the occurrences by number, counted from 0
     */
    public Map<Integer, Occurrence> occurrences() {
        return occurrences;
    }

    /**
     * Returns an occurrence, and creates it on first access.
     *
     * @param number the occurrence, counted from 0
     * @return the occurrence; its tasks have no runs until one is started
     */
    public Occurrence occurrence(int number) {
        return occurrences.computeIfAbsent(number, any -> new Occurrence(spec.steps()));
    }

    boolean allOccurrencesDone() {
        return doneOccurrences == spec.schedule().occurrences();
    }

    /**
     * Finds a task.
     *
     * @param key the key; its job id is not compared
     * @return the task, empty when the occurrence, step or index is out of range
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
