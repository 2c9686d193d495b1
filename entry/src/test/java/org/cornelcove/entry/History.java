package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The answers to callers and the logs of targets, on which the guarantees are checked. */
final class History {
    /** One request and its answer, as seen by the caller. */
    record Exchange(String id, String requestClass, String key, String body, int status, String run, String answer) {}

    final List<Exchange> exchanges = new ArrayList<>();
    final List<FakeTarget> targets;

    /** When each target announced that it is leaving, by its index in the list. */
    final Map<Integer, Long> leftNs = new HashMap<>();

    History(List<FakeTarget> targets) {
        this.targets = targets;
    }

    /** Returns all violations, each starting with the name of the violated guarantee. */
    List<String> violations() {
        List<String> found = new ArrayList<>();
        exchanges.forEach(one -> checkAnswer(one, found));
        checkOnce(found);
        checkExclusive(found);
        checkLeaving(found);
        return found;
    }

    private Stream<FakeTarget.Received> runs() {
        return targets.stream().flatMap(target -> target.log.stream()).filter(seen -> !seen.refused);
    }

    private void checkAnswer(Exchange one, List<String> found) {
        boolean own = one.requestClass.equals("once")
                ? one.answer.endsWith("|" + one.body)
                : one.answer.equals(one.id + "|" + one.body);
        if (one.run.equals("done") && one.status == 200 && !own) {
            found.add("whole answer: " + one);
        }
        if (one.run.equals("not-run") && runs().anyMatch(seen -> seen.id().equals(one.id))) {
            found.add("not run: " + one);
        }
    }

    private void checkOnce(List<String> found) {
        Map<String, Integer> runsByKey = new HashMap<>();
        runs().filter(seen -> "once".equals(seen.headers.get("cornelcove-class")))
                .forEach(seen -> runsByKey.merge(seen.key(), 1, Integer::sum));
        runsByKey.forEach((key, count) -> {
            if (count > 1) {
                found.add("at most once: " + key + " ran " + count + " times");
            }
        });
    }

    private void checkExclusive(List<String> found) {
        Map<String, Long> lastEndNs = new HashMap<>();
        runs().filter(seen -> "exclusive".equals(seen.headers.get("cornelcove-class")))
                .sorted(Comparator.comparingLong(seen -> seen.startNs))
                .forEach(seen -> {
                    Long end = lastEndNs.get(seen.key());
                    if (end != null && seen.startNs - end < 0) {
                        found.add("never in two places: " + seen.key());
                    }
                    lastEndNs.merge(seen.key(), seen.endNs, Math::max);
                });
    }

    private void checkLeaving(List<String> found) {
        leftNs.forEach((index, atNs) -> targets.get(index).log.stream()
                .filter(seen -> seen.startNs - atNs > 0)
                .forEach(seen -> found.add("nothing to a leaving target: " + seen.id())));
    }
}
