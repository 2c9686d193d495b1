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

/** Checks of requests, from what callers were told and what targets wrote down. */
final class RequestChecks {
    private static final long LEAVING_MS = 3_000;

    private RequestChecks() {}

    private static boolean of(String requestClass, Seen.Answer answer) {
        return answer.sent().requestClass().equals(requestClass);
    }

    private static List<TargetEvent> started(History history) {
        return history.events(TargetEvent.class).stream()
                .filter(event -> event.what().equals("started"))
                .toList();
    }

    /** A target answers with its name, a space and the request's body. */
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

    static List<String> notRunIsTrue(History history) {
        Set<String> requests =
                started(history).stream().map(TargetEvent::requestId).collect(Collectors.toSet());
        return toldNotRun(history)
                .filter(answer -> requests.contains(answer.sent().requestId()))
                .map(Object::toString)
                .toList();
    }

    /** After a not-run, a caller of class {@code once} may act under a new key, so its key must not have run before. */
    static List<String> keyThatRanIsNotToldNotRun(History history) {
        List<TargetEvent> started = started(history);
        return toldNotRun(history)
                .filter(answer -> of("once", answer))
                .filter(answer -> started.stream()
                        .anyMatch(
                                event -> event.key().equals(answer.sent().key()) && event.atMs() < answer.answeredMs()))
                .map(Object::toString)
                .toList();
    }

    private static Stream<Seen.Answer> toldNotRun(History history) {
        return history.events(Seen.Answer.class).stream()
                .filter(answer -> answer.run().equals("not-run"));
    }

    static List<String> onceAtMostOnce(History history) {
        Set<String> keys = history.events(Seen.Answer.class).stream()
                .filter(answer -> of("once", answer))
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

    /** Events in the order of time; whatever started under a key must end before the next. */
    static List<String> exclusiveNeverOverlaps(History history) {
        Set<String> exclusive = history.events(Seen.Answer.class).stream()
                .filter(answer -> of("exclusive", answer))
                .map(answer -> answer.sent().requestId())
                .collect(Collectors.toSet());
        Map<String, TargetEvent> running = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (TargetEvent event : inOrderOfTime(history)) {
            if (!exclusive.contains(event.requestId())) {
                continue;
            }
            if (event.what().equals("started")) {
                TargetEvent other = running.put(event.key(), event);
                if (other != null) {
                    found.add(event + " while " + other);
                }
            } else if (running.containsKey(event.key())
                    && running.get(event.key()).requestId().equals(event.requestId())) {
                running.remove(event.key());
            }
        }
        return found;
    }

    /** Stable, so that events of one instant stay in the order in which they were written down. */
    private static List<TargetEvent> inOrderOfTime(History history) {
        return history.events(TargetEvent.class).stream()
                .sorted(Comparator.comparingLong(TargetEvent::atUs))
                .toList();
    }

    static List<String> leavingTargetGetsNothing(History history) {
        Map<String, Long> leaving = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (TargetEvent event : history.events(TargetEvent.class)) {
            if (event.what().equals("leaving")) {
                leaving.put(event.target(), event.atMs());
            } else if (event.what().equals("started")
                    && event.atMs() > leaving.getOrDefault(event.target(), Long.MAX_VALUE - LEAVING_MS) + LEAVING_MS) {
                found.add(event + " leaving since " + leaving.get(event.target()));
            }
        }
        return found;
    }

    /**
     * A target that was frozen starts, once it goes on, what was written to it meanwhile. None of that may have been
     * sent by its caller later than the bound after the silence began.
     */
    static List<String> silentTargetGetsNothingNew(History history) {
        Map<String, Long> sentMs = new HashMap<>();
        history.events(Seen.Answer.class)
                .forEach(answer ->
                        sentMs.put(answer.sent().requestId(), answer.sent().sentMs()));
        Map<String, Long> heardMs = new HashMap<>();
        history.events(TargetEvent.class).stream()
                .filter(event -> event.what().equals("heard"))
                .forEach(event -> heardMs.put(event.target(), event.atMs()));
        List<String> found = new ArrayList<>();
        for (TargetEvent silent : history.events(TargetEvent.class)) {
            if (!silent.what().equals("silent")) {
                continue;
            }
            long untilMs = heardMs.getOrDefault(silent.target(), Long.MAX_VALUE);
            started(history).stream()
                    .filter(event -> event.target().equals(silent.target()))
                    .filter(event -> sentMs.getOrDefault(event.requestId(), 0L) > silent.atMs() + LEAVING_MS
                            && sentMs.get(event.requestId()) < untilMs)
                    .forEach(event -> found.add(event + " sent at " + sentMs.get(event.requestId()) + ", " + silent));
        }
        return found;
    }

    /** A member whose disk failed must not go on as if its data were durable; it ends and names the remedy. */
    static List<String> failedDiskStopsMember(History history) {
        return history.events(Seen.DiskFailed.class).stream()
                .filter(failed -> failed.exitCode() != 1
                        || !failed.said().startsWith("error(" + ErrorKind.STORAGE_FAILED.number() + ")")
                        || !failed.said().contains("mend the disk"))
                .map(Object::toString)
                .toList();
    }

    /** No answer is lost at the daemon that stops, none is cut off by it elsewhere, and its exit code is 0. */
    static List<String> plannedStopCutsOffNothing(History history) {
        List<String> found = new ArrayList<>();
        for (Seen.Stop stop : history.events(Seen.Stop.class)) {
            if (stop.exitCode() != 0) {
                found.add(stop.toString());
            }
            history.events(Seen.Answer.class).stream()
                    .filter(answer -> answer.answeredMs() >= stop.fromMs()
                            && answer.sent().sentMs() <= stop.toMs())
                    .filter(answer -> answer.run().equals("unknown")
                            || answer.run().equals(Seen.LOST)
                                    && answer.sent().entry().equals(stop.entry()))
                    .forEach(answer -> found.add(answer + " during " + stop));
        }
        return found;
    }
}
