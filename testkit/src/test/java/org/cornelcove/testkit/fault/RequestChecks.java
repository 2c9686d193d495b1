package org.cornelcove.testkit.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.testkit.History;
import org.cornelcove.testkit.TargetEvent;

/** Checks of requests, based on the answers to callers and on the events of targets. */
final class RequestChecks {
    /** Time within which entries stop sending requests to a target that is leaving or silent. */
    private static final long DISPATCH_STOP_MS = 3_000;

    private RequestChecks() {}

    private static boolean hasClass(String requestClass, Seen.Answer answer) {
        return answer.sent().requestClass().equals(requestClass);
    }

    private static List<TargetEvent> started(History history) {
        return history.events(TargetEvent.class).stream()
                .filter(event -> event.what().equals("started"))
                .toList();
    }

    /** The body of an answer is the name of the target, a space and the body of the request. */
    static List<String> ownWholeAnswer(History history) {
        return history.events(Seen.Answer.class).stream()
                .filter(answer -> answer.run().equals("done"))
                .filter(answer -> answer.status() != 200
                        || !answer.body()
                                .substring(answer.body().indexOf(' ') + 1)
                                .equals(answer.sent().body()))
                .map(Object::toString)
                .toList();
    }

    /** A request whose answer has the run state {@code not-run} never started on a target. */
    static List<String> notRunIsTrue(History history) {
        Set<String> requests =
                started(history).stream().map(TargetEvent::requestId).collect(Collectors.toSet());
        return answeredNotRun(history)
                .filter(answer -> requests.contains(answer.sent().requestId()))
                .map(Object::toString)
                .toList();
    }

    /**
     * After {@code not-run}, a caller of class {@code once} may retry under a new key, so no request of its key has
     * run.
     */
    static List<String> keyThatRanIsNotToldNotRun(History history) {
        List<TargetEvent> started = started(history);
        return answeredNotRun(history)
                .filter(answer -> hasClass("once", answer))
                .filter(answer -> started.stream()
                        .anyMatch(
                                event -> event.key().equals(answer.sent().key()) && event.atMs() < answer.answeredMs()))
                .map(Object::toString)
                .toList();
    }

    private static Stream<Seen.Answer> answeredNotRun(History history) {
        return history.events(Seen.Answer.class).stream()
                .filter(answer -> answer.run().equals("not-run"));
    }

    static List<String> onceAtMostOnce(History history) {
        Set<String> keys = history.events(Seen.Answer.class).stream()
                .filter(answer -> hasClass("once", answer))
                .map(answer -> answer.sent().key())
                .collect(Collectors.toSet());
        return started(history).stream()
                .filter(event -> keys.contains(event.key()))
                .collect(Collectors.groupingBy(TargetEvent::key))
                .values()
                .stream()
                .filter(runs -> runs.size() > 1)
                .map(Object::toString)
                .toList();
    }

    /** A request of class {@code exclusive} starts only after the previous one under its key has ended. */
    static List<String> exclusiveNeverOverlaps(History history) {
        Set<String> exclusive = history.events(Seen.Answer.class).stream()
                .filter(answer -> hasClass("exclusive", answer))
                .map(answer -> answer.sent().requestId())
                .collect(Collectors.toSet());
        Map<String, TargetEvent> running = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (TargetEvent event : sortedByTime(history)) {
            if (!exclusive.contains(event.requestId())) {
                continue;
            }
            if (event.what().equals("started")) {
                TargetEvent other = running.put(event.key(), event);
                if (other != null) {
                    violations.add(event + " while " + other);
                }
            } else if (running.containsKey(event.key())
                    && running.get(event.key()).requestId().equals(event.requestId())) {
                running.remove(event.key());
            }
        }
        return violations;
    }

    /** The sort is stable, so events with equal timestamps stay in the order in which they were recorded. */
    private static List<TargetEvent> sortedByTime(History history) {
        return history.events(TargetEvent.class).stream()
                .sorted(Comparator.comparingLong(TargetEvent::atUs))
                .toList();
    }

    static List<String> leavingTargetGetsNothing(History history) {
        Map<String, Long> leaving = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (TargetEvent event : history.events(TargetEvent.class)) {
            if (event.what().equals("leaving")) {
                leaving.put(event.target(), event.atMs());
            } else if (event.what().equals("started")
                    && event.atMs()
                            > leaving.getOrDefault(event.target(), Long.MAX_VALUE - DISPATCH_STOP_MS)
                                    + DISPATCH_STOP_MS) {
                violations.add(event + " leaving since " + leaving.get(event.target()));
            }
        }
        return violations;
    }

    /**
     * A frozen target starts the requests from its socket buffers once it is thawed. None of these may have been sent
     * by its caller later than {@link #DISPATCH_STOP_MS} after the target was frozen.
     */
    static List<String> silentTargetGetsNothingNew(History history) {
        Map<String, Long> sentMs = new HashMap<>();
        history.events(Seen.Answer.class)
                .forEach(answer ->
                        sentMs.put(answer.sent().requestId(), answer.sent().sentMs()));
        Map<String, Long> thawedMs = new HashMap<>();
        history.events(TargetEvent.class).stream()
                .filter(event -> event.what().equals("heard"))
                .forEach(event -> thawedMs.put(event.target(), event.atMs()));
        List<String> violations = new ArrayList<>();
        for (TargetEvent silent : history.events(TargetEvent.class)) {
            if (!silent.what().equals("silent")) {
                continue;
            }
            long untilMs = thawedMs.getOrDefault(silent.target(), Long.MAX_VALUE);
            started(history).stream()
                    .filter(event -> event.target().equals(silent.target()))
                    .filter(event -> sentMs.getOrDefault(event.requestId(), 0L) > silent.atMs() + DISPATCH_STOP_MS
                            && sentMs.get(event.requestId()) < untilMs)
                    .forEach(event ->
                            violations.add(event + " sent at " + sentMs.get(event.requestId()) + ", " + silent));
        }
        return violations;
    }

    /**
     * A member whose disk failed must not continue as if its data were durable; it exits and its error names the
     * remedy.
     */
    static List<String> failedDiskStopsMember(History history) {
        return history.events(Seen.DiskFailed.class).stream()
                .filter(failed -> failed.exitCode() != 1
                        || !failed.said().startsWith("error(" + ErrorKind.STORAGE_FAILED.number() + ")")
                        || !failed.said().contains("mend the disk"))
                .map(Object::toString)
                .toList();
    }

    /** During a planned stop no answer of the daemon is lost, none is unknown at any entry, and the exit code is 0. */
    static List<String> plannedStopCutsOffNothing(History history) {
        List<String> violations = new ArrayList<>();
        for (Seen.Stop stop : history.events(Seen.Stop.class)) {
            if (stop.exitCode() != 0) {
                violations.add(stop.toString());
            }
            history.events(Seen.Answer.class).stream()
                    .filter(answer -> answer.answeredMs() >= stop.fromMs()
                            && answer.sent().sentMs() <= stop.toMs())
                    .filter(answer -> answer.run().equals("unknown")
                            || answer.run().equals(Seen.LOST)
                                    && answer.sent().entry().equals(stop.entry()))
                    .forEach(answer -> violations.add(answer + " during " + stop));
        }
        return violations;
    }
}
