package org.cornelcove.work.lead;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.log.Metrics;
import org.cornelcove.work.plan.JobSizes;
import org.cornelcove.work.plan.QueueOrder;
import org.cornelcove.work.state.Job;

/** Measures how the jobs of a term are served by queue and size. Used on the leader's loop only. */
final class ServedJobs {
    /** Interval of the summaries; single lines may be dropped under load, a later summary holds the same counts. */
    private static final long SUMMARY_INTERVAL_MS = 2000;

    private enum Count {
        ACCEPTED,
        IN_TIME,
        LATE,
        TOO_LATE,
        FAILED,
        CANCELLED
    }

    /** The sizes and the counts of one queue. */
    private static final class Queue {
        private final JobSizes sizes = new JobSizes();
        private final int[][] counts = new int[JobSizes.Rank.values().length][Count.values().length];
    }

    private record OpenJob(QueueRule queue, JobSizes.Rank size) {}

    private final Map<String, Queue> queues = new HashMap<>();
    /** Jobs that have not ended, by id. */
    private final Map<String, OpenJob> open = new HashMap<>();

    private long summaryDueMs;

    void accepted(Job job, QueueRule rule) {
        if (!open.containsKey(job.spec().id())) {
            Queue queue = queues.computeIfAbsent(rule.name(), any -> new Queue());
            queue.sizes.observe(job.spec().workCoreUs());
            OpenJob added = new OpenJob(rule, queue.sizes.rank(job.spec().workCoreUs()));
            open.put(job.spec().id(), added);
            count(added, Count.ACCEPTED);
        }
    }

    private void count(OpenJob job, Count what) {
        queues.get(job.queue.name()).counts[job.size.ordinal()][what.ordinal()]++;
        Metrics.count(String.join(".", "served", job.queue.name(), lower(job.size), lower(what)));
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Counts and logs the first end of a job; later calls for the same job have no effect. */
    void ended(Job job, String decidedBy) {
        OpenJob ended = open.remove(job.spec().id());
        if (ended == null) {
            return;
        }
        long objectiveMs = ended.queue.objectiveMs(job.spec());
        count(ended, outcome(job, objectiveMs));
        EventLog.event(
                "job.ended",
                "job",
                job.spec().id(),
                "phase",
                job.phase(),
                "task",
                decidedBy,
                "queue",
                ended.queue.name(),
                "size",
                ended.size,
                "workCoreUs",
                job.spec().workCoreUs(),
                "tookMs",
                tookMs(job),
                "objectiveMs",
                objectiveMs);
    }

    private static Count outcome(Job job, long objectiveMs) {
        if (job.phase() != JobPhase.COMPLETED) {
            return job.phase() == JobPhase.FAILED ? Count.FAILED : Count.CANCELLED;
        } else if (tookMs(job) <= objectiveMs) {
            return Count.IN_TIME;
        }
        return tookMs(job) <= QueueOrder.HOPELESS_FACTOR * objectiveMs ? Count.LATE : Count.TOO_LATE;
    }

    private static long tookMs(Job job) {
        int lastOccurrence = job.spec().schedule().occurrences() - 1;
        return job.endedMs() - Math.max(job.submittedMs(), job.spec().schedule().dueMs(lastOccurrence));
    }

    /** Logs the counts of all queues if that is due. */
    void summarize(long nowMs) {
        if (nowMs < summaryDueMs) {
            return;
        }
        summaryDueMs = nowMs + SUMMARY_INTERVAL_MS;
        queues.forEach((name, queue) -> {
            for (JobSizes.Rank size : JobSizes.Rank.values()) {
                int[] counts = queue.counts[size.ordinal()];
                EventLog.event(
                        "queue.served",
                        "queue",
                        name,
                        "size",
                        size,
                        "accepted",
                        counts[Count.ACCEPTED.ordinal()],
                        "inTime",
                        counts[Count.IN_TIME.ordinal()],
                        "late",
                        counts[Count.LATE.ordinal()],
                        "tooLate",
                        counts[Count.TOO_LATE.ordinal()],
                        "failed",
                        counts[Count.FAILED.ordinal()],
                        "cancelled",
                        counts[Count.CANCELLED.ordinal()]);
            }
        });
    }
}
