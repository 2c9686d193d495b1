package org.cornelcove.testkit.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.cornelcove.model.job.JobState;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.testkit.AttemptEvent;
import org.cornelcove.testkit.History;

/** Checks of jobs, based on the events of workers and on the jobs that operators read. */
final class JobChecks {
    private JobChecks() {}

    /** One attempt on one host, from its start until its last event other than a stop or an acknowledgement. */
    private record Run(String host, String job, int attempt, long fromMs, long toMs, AttemptEvent start) {
        boolean covers(long atMs) {
            return fromMs <= atMs && atMs < toMs;
        }
    }

    /**
     * A thawed worker records {@code stopped} late although the attempt did not run, so that event does not extend a
     * run.
     */
    private static List<Run> runs(History history) {
        Map<String, List<AttemptEvent>> byRun = history.events(AttemptEvent.class).stream()
                .filter(event ->
                        !event.what().equals("stopped") && !event.what().equals("forgotten"))
                .collect(Collectors.groupingBy(
                        event -> event.host() + " " + event.job() + " " + event.attempt(),
                        TreeMap::new,
                        Collectors.toList()));
        return byRun.values().stream().map(JobChecks::run).toList();
    }

    private static Run run(List<AttemptEvent> events) {
        AttemptEvent start = events.get(0);
        long toMs = events.stream().mapToLong(AttemptEvent::atMs).max().orElseThrow();
        return new Run(start.host(), start.job(), start.attempt(), start.atMs(), toMs, start);
    }

    static List<String> inOnePlace(History history) {
        List<Run> runs = runs(history);
        List<String> violations = new ArrayList<>();
        for (Run run : runs) {
            runs.stream()
                    .filter(other -> other != run && other.job().equals(run.job()) && other.covers(run.fromMs()))
                    .forEach(other -> violations.add(run + " while " + other));
        }
        return violations;
    }

    static List<String> hostNeverOverfilled(History history) {
        List<Run> runs = runs(history);
        List<String> violations = new ArrayList<>();
        for (Run run : runs) {
            Resources total = runs.stream()
                    .filter(other -> other.host().equals(run.host()) && other.covers(run.fromMs()))
                    .map(other -> other.start().resources())
                    .reduce(Resources.NONE, Resources::plus);
            if (!total.fitsIn(run.start().capacity())) {
                violations.add(run.host() + " runs " + total + " at " + run.fromMs());
            }
        }
        return violations;
    }

    /**
     * A final state never changes; every accepted job ends as FINISHED, and exactly one attempt recorded its finish.
     */
    static List<String> finishedOnce(History history) {
        Map<String, JobView> last = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (Seen.Job seen : history.events(Seen.Job.class)) {
            JobView before = last.put(seen.job().spec().id().value(), seen.job());
            boolean changed = before != null
                    && before.state().isFinal()
                    && (before.state() != seen.job().state()
                            || before.attempt() != seen.job().attempt());
            if (changed) {
                violations.add(before + " then " + seen);
            }
        }
        for (Seen.Submitted submitted : history.events(Seen.Submitted.class)) {
            JobView job = last.get(submitted.job());
            if (job == null || job.state() != JobState.FINISHED) {
                violations.add(submitted + " ends as " + Optional.ofNullable(job));
            } else if (finished(history, job).count() != 1) {
                violations.add(job + " finished as " + finished(history, job).toList());
            }
        }
        return violations;
    }

    private static Stream<AttemptEvent> finished(History history, JobView job) {
        return history.events(AttemptEvent.class).stream()
                .filter(event -> event.job().equals(job.spec().id().value())
                        && event.what().equals("finished"));
    }

    /**
     * An attempt starts at most once; after an acknowledged eviction the next one starts from the evicted checkpoint.
     */
    static List<String> evictedResumesOnce(History history) {
        List<AttemptEvent> events = history.events(AttemptEvent.class);
        Map<String, AttemptEvent> starts = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (AttemptEvent event : events) {
            if (event.what().equals("started")) {
                AttemptEvent other = starts.put(event.job() + " " + event.attempt(), event);
                if (other != null) {
                    violations.add(event + " and " + other);
                }
            }
        }
        for (AttemptEvent evicted : events) {
            AttemptEvent next = starts.get(evicted.job() + " " + (evicted.attempt() + 1));
            boolean acknowledged = evicted.what().equals("evicted") && isForgotten(events, evicted);
            if (acknowledged && next != null && !next.checkpoint().equals(evicted.checkpoint())) {
                violations.add(evicted + " resumed as " + next);
            }
        }
        return violations;
    }

    private static boolean isForgotten(List<AttemptEvent> events, AttemptEvent evicted) {
        return events.stream()
                .anyMatch(event -> event.what().equals("forgotten")
                        && event.job().equals(evicted.job())
                        && event.attempt() == evicted.attempt());
    }
}
