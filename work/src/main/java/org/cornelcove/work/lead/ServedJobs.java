package org.cornelcove.work.lead;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.log.Metrics;
import org.cornelcove.work.plan.JobSizes;
import org.cornelcove.work.state.Job;

/** Measures how jobs are served by queue and size. Used on the leader's loop only. */
final class ServedJobs {
    /** Multiple of its objective after which the result of a job has no value to its caller. */
    private static final int WORTHLESS_FACTOR = 3;

    private enum Outcome {
        IN_TIME,
        LATE,
        TOO_LATE,
        FAILED,
        CANCELLED
    }

    private final Map<String, JobSizes> sizes = new HashMap<>();
    /** Jobs that have not ended, by id. */
    private final Map<String, Job> open = new HashMap<>();

    void accepted(Job job, QueueRule queue) {
        if (open.put(job.spec().id(), job) == null) {
            sizes.computeIfAbsent(queue.name(), any -> new JobSizes())
                    .observe(job.spec().work());
        }
    }

    /** Counts and logs the first end of a job; later calls for the same job have no effect. */
    void ended(Job job, QueueRule queue, String decidedBy) {
        if (open.remove(job.spec().id()) == null) {
            return;
        }
        JobSizes.Rank size = sizes.get(queue.name()) == null
                ? JobSizes.Rank.OTHER
                : sizes.get(queue.name()).rank(job.spec().work());
        Outcome outcome = outcome(job, queue);
        Metrics.count(String.join(".", "served", queue.name(), lower(size), lower(outcome)));
        EventLog.event(
                "job.ended",
                "job",
                job.spec().id(),
                "phase",
                job.phase(),
                "task",
                decidedBy,
                "queue",
                queue.name(),
                "size",
                size,
                "work",
                job.spec().work(),
                "tookMs",
                tookMs(job),
                "objectiveMs",
                queue.objectiveMs(job.spec()));
    }

    private static Outcome outcome(Job job, QueueRule queue) {
        if (job.phase() != JobPhase.COMPLETED) {
            return job.phase() == JobPhase.FAILED ? Outcome.FAILED : Outcome.CANCELLED;
        }
        long objectiveMs = queue.objectiveMs(job.spec());
        if (tookMs(job) <= objectiveMs) {
            return Outcome.IN_TIME;
        }
        return tookMs(job) <= WORTHLESS_FACTOR * objectiveMs ? Outcome.LATE : Outcome.TOO_LATE;
    }

    private static long tookMs(Job job) {
        int lastOccurrence = job.spec().schedule().occurrences() - 1;
        return job.endedMs() - Math.max(job.submittedMs(), job.spec().schedule().dueMs(lastOccurrence));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
