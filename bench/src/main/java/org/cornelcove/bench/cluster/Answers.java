package org.cornelcove.bench.cluster;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.cornelcove.model.id.TargetId;

/**
 * When each target first answered a request that was sent after an instant. Callers write, the benchmark reads; to watch
 * from a later instant drops all that was seen before.
 *
 * <p>Example: watched from 100, a request of 90 answered at 130 counts for nothing, one of 110 answered at 140 counts as
 * 140, and one of 120 answered at 150 changes nothing.
 */
final class Answers {
    private record Watch(long sinceNs, Map<TargetId, Long> firstNs) {}

    private final AtomicReference<Watch> watch = new AtomicReference<>();

    Answers(long sinceNs) {
        watchSince(sinceNs);
    }

    void watchSince(long sinceNs) {
        watch.set(new Watch(sinceNs, new ConcurrentHashMap<>()));
    }

    void answered(TargetId target, long sentNs, long answeredNs) {
        Watch current = watch.get();
        if (sentNs - current.sinceNs() >= 0) {
            current.firstNs().merge(target, answeredNs, (a, b) -> a - b <= 0 ? a : b);
        }
    }

    boolean haveAll(Collection<TargetId> targets) {
        return watch.get().firstNs().keySet().containsAll(targets);
    }

    /** Returns how long after the watch began the target first answered; empty when it has not. */
    OptionalLong waitNs(TargetId target) {
        Watch current = watch.get();
        return Optional.ofNullable(current.firstNs().get(target))
                .map(first -> OptionalLong.of(first - current.sinceNs()))
                .orElse(OptionalLong.empty());
    }
}
