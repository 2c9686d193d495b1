package org.cornelcove.policy.evict;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.policy.pace.TokenBucket;

/**
 * How batch work gives way to services on a loaded host, and comes back.
 *
 * <p>Above {@code HIGH} the largest attempts are throttled until the expected use is below the mark: that takes effect at
 * once and loses no work. Only when the host stays above it with all attempts throttled for {@code EVICT_AFTER_MS} is one
 * attempt evicted, the one with least work since its checkpoint for the processor time that it frees. Evictions draw on
 * one budget for the cluster. Below {@code LOW} for {@code CALM_MS} throttled attempts return one at a time, paced over
 * the cluster, and only if the host is expected to stay below {@code HIGH}.
 *
 * <p>Measurements are late. One taken before the last order to a host took effect is not acted upon, so that the same
 * load is not answered twice. The gap between the marks keeps a load that swings around one of them from throttling and
 * releasing in turn.
 *
 * <p>Evicting at once lost: a crest of seconds then costs minutes of work, and all that was evicted comes back together.
 * Not thread-safe.
 */
public final class GiveWay {
    /** The share of its use that a throttled attempt keeps. */
    public static final double THROTTLED_SHARE = 0.25;

    private static final double HIGH = 0.85;
    private static final double LOW = 0.65;
    private static final long EVICT_AFTER_MS = 10_000;
    private static final long CALM_MS = 5000;
    private static final long SETTLE_MS = 1000;
    private static final double RETURNS_PER_SECOND = 10;
    private static final long MINUTE_S = 60;

    private final Map<HostId, State> states = new HashMap<>();
    private final TokenBucket evictions;
    private final TokenBucket returns;

    private GiveWay(int evictionsPerMinute) {
        evictions = TokenBucket.full((double) evictionsPerMinute / MINUTE_S, Math.max(1, evictionsPerMinute / 4.0));
        returns = TokenBucket.full(RETURNS_PER_SECOND, RETURNS_PER_SECOND);
    }

    /**
     * Returns an object that has given no order yet.
     *
     * @param evictionsPerMinute the most evictions a minute over the cluster
     * @return the object
     */
    public static GiveWay of(int evictionsPerMinute) {
        return new GiveWay(evictionsPerMinute);
    }

    /**
     * Decides on one host after a measurement.
     *
     * @param load what was measured
     * @param nowMs the current instant
     * @return the orders, none for most measurements
     */
    public List<GiveWayOrder> decide(HostLoad load, long nowMs) {
        State state = states.computeIfAbsent(load.host(), h -> new State());
        if (load.measuredAtMs() < state.settledAtMs) {
            return List.of();
        }
        state.note(load.pressure(), load.measuredAtMs());
        List<GiveWayOrder> orders = state.isHigh() ? giveWay(load, state, nowMs) : comeBack(load, state, nowMs);
        if (!orders.isEmpty()) {
            state.settledAtMs = nowMs + SETTLE_MS;
        }
        return orders;
    }

    /**
     * Tells whether a host takes batch work now.
     *
     * @param host the host
     * @return whether it does
     */
    public boolean isOpenForBatch(HostId host) {
        State state = states.get(host);
        return state == null || state.open;
    }

    /**
     * Forgets a host that is gone.
     *
     * @param host the host
     */
    public void forget(HostId host) {
        states.remove(host);
    }

    private List<GiveWayOrder> giveWay(HostLoad load, State state, long nowMs) {
        List<GiveWayOrder> orders = new ArrayList<>(throttle(load));
        if (!orders.isEmpty()) {
            return orders;
        }
        boolean lasting = load.measuredAtMs() - state.highSinceMs >= EVICT_AFTER_MS;
        Optional<BatchAttempt> victim = lasting ? victim(load.batch()) : Optional.empty();
        if (victim.isPresent() && evictions.tryTake(0, nowMs)) {
            orders.add(new GiveWayOrder(victim.get().attempt(), AttemptAction.EVICT));
        }
        return orders;
    }

    /** Throttles the largest attempts first, urgent ones last, until the expected use is below the mark. */
    private static List<GiveWayOrder> throttle(HostLoad load) {
        List<GiveWayOrder> orders = new ArrayList<>();
        double expected = load.pressure();
        List<BatchAttempt> largestFirst = load.batch().stream()
                .filter(a -> !a.throttled() && a.usedCpuMillicores() > 0)
                .sorted(Comparator.comparing(BatchAttempt::urgent)
                        .thenComparing(Comparator.comparingLong(BatchAttempt::usedCpuMillicores)
                                .reversed())
                        .thenComparing(a -> a.attempt().toString()))
                .toList();
        for (BatchAttempt attempt : largestFirst) {
            if (expected <= HIGH) {
                break;
            }
            orders.add(new GiveWayOrder(attempt.attempt(), AttemptAction.THROTTLE));
            expected -= attempt.usedCpuMillicores() * (1 - THROTTLED_SHARE) / load.capacityMillicores();
        }
        return orders;
    }

    /**
     * Chooses the attempt whose eviction costs least.
     *
     * @param batch the attempts on a host
     * @return the attempt; empty when all are urgent, or there is none
     */
    public static Optional<BatchAttempt> victim(List<BatchAttempt> batch) {
        return batch.stream()
                .filter(a -> !a.urgent())
                .min(Comparator.comparingLong(BatchAttempt::sinceCheckpointMs)
                        .thenComparing(a -> a.attempt().toString()));
    }

    private List<GiveWayOrder> comeBack(HostLoad load, State state, long nowMs) {
        boolean calm = state.lowSinceMs >= 0 && load.measuredAtMs() - state.lowSinceMs >= CALM_MS;
        if (!calm) {
            return List.of();
        }
        Optional<BatchAttempt> smallest = load.batch().stream()
                .filter(BatchAttempt::throttled)
                .min(Comparator.comparing((BatchAttempt a) -> !a.urgent())
                        .thenComparingLong(BatchAttempt::usedCpuMillicores)
                        .thenComparing(a -> a.attempt().toString()));
        if (smallest.isEmpty()) {
            state.open = true;
            return List.of();
        }
        double added = smallest.get().usedCpuMillicores() * (1 / THROTTLED_SHARE - 1) / load.capacityMillicores();
        if (load.pressure() + added > HIGH || !returns.tryTake(0, nowMs)) {
            return List.of();
        }
        return List.of(new GiveWayOrder(smallest.get().attempt(), AttemptAction.RUN));
    }

    /** What is known of one host. */
    private static final class State {
        private static final long NEVER = -1;

        private long highSinceMs = NEVER;
        private long lowSinceMs = NEVER;
        /** Measurements before this instant show the host as it was before the last order. */
        private long settledAtMs = Long.MIN_VALUE;

        private boolean open = true;

        void note(double pressure, long measuredAtMs) {
            if (pressure > HIGH) {
                highSinceMs = highSinceMs == NEVER ? measuredAtMs : highSinceMs;
                open = false;
            } else {
                highSinceMs = NEVER;
            }
            if (pressure < LOW) {
                lowSinceMs = lowSinceMs == NEVER ? measuredAtMs : lowSinceMs;
            } else {
                lowSinceMs = NEVER;
            }
        }

        boolean isHigh() {
            return highSinceMs != NEVER;
        }
    }
}
