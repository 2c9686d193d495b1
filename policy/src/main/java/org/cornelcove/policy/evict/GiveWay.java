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
 * <p>Above {@code HIGH} the largest attempts are throttled until the expected use is below the mark: that takes effect
 * at once and loses no work. An attempt that is known to disturb a service at its load now is throttled whatever the
 * use. Only when the host stays above it with all attempts throttled for {@code EVICT_AFTER_MS} is one attempt
 * evicted, the one with least work since its checkpoint for the processor time that it frees. A host short of memory
 * evicts at once, first what exceeds its declared size; one that is full because all use what they were placed with is
 * left alone, else its work would be evicted and placed there again for ever. Evictions draw on one budget for the
 * cluster. Below {@code LOW} for {@code CALM_MS} throttled attempts return, paced over the cluster, and only as long
 * as the host is expected to stay below {@code HIGH}.
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

    private static final double HIGH = 0.95;
    private static final double LOW = 0.75;
    private static final long EVICT_AFTER_MS = 10_000;
    private static final long CALM_MS = 3000;
    private static final long SETTLE_MS = 1000;
    private static final double HARMFUL_DISTURBANCE = 0.3;
    private static final double RETURNS_PER_HOST_SECOND = 0.5;
    private static final double RETURNS_STORED = 20;

    private final Map<HostId, State> states = new HashMap<>();
    private final EvictionBudget evictions;
    private final TokenBucket returns;

    private GiveWay(EvictionBudget evictions) {
        this.evictions = evictions;
        returns = TokenBucket.full(1, RETURNS_STORED);
    }

    /**
     * Returns an object that has given no order yet.
     *
     * @param evictions the cluster's budget
     * @return the object
     */
    public static GiveWay of(EvictionBudget evictions) {
        return new GiveWay(evictions);
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
        Optional<GiveWayOrder> forMemory = relieveMemory(load, state, nowMs);
        if (forMemory.isPresent()) {
            state.settledAtMs = nowMs + SETTLE_MS;
            return List.of(forMemory.get());
        }
        List<GiveWayOrder> orders =
                mustGiveWay(load, state) ? giveWay(load, state, nowMs) : comeBack(load, state, nowMs);
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

    /** Throttling frees no memory, so one attempt is evicted at once, of those above their declared size if there are. */
    private Optional<GiveWayOrder> relieveMemory(HostLoad load, State state, long nowMs) {
        if (load.memoryPressure() <= HIGH) {
            return Optional.empty();
        }
        List<BatchAttempt> above =
                load.batch().stream().filter(BatchAttempt::exceedsMemory).toList();
        if (above.isEmpty() && !load.isShortOfPlacedMemory()) {
            return Optional.empty();
        }
        state.open = false;
        Optional<BatchAttempt> victim = victim(above).or(() -> victim(load.batch()));
        if (victim.isEmpty() || !evictions.tryTake(nowMs)) {
            return Optional.empty();
        }
        return Optional.of(new GiveWayOrder(victim.get().attempt(), AttemptAction.EVICT));
    }

    private static boolean mustGiveWay(HostLoad load, State state) {
        return state.isHigh() || load.batch().stream().anyMatch(a -> !a.throttled() && disturbs(a));
    }

    private List<GiveWayOrder> giveWay(HostLoad load, State state, long nowMs) {
        List<GiveWayOrder> orders = new ArrayList<>(throttle(load));
        if (!orders.isEmpty()) {
            return orders;
        }
        boolean lasting = state.isHigh() && load.measuredAtMs() - state.highSinceMs >= EVICT_AFTER_MS;
        Optional<BatchAttempt> victim = lasting ? victim(load.batch()) : Optional.empty();
        if (victim.isPresent() && evictions.tryTake(nowMs)) {
            orders.add(new GiveWayOrder(victim.get().attempt(), AttemptAction.EVICT));
        }
        return orders;
    }

    /** Throttles what disturbs, then others, urgent ones last, until the expected use is below the mark. */
    private static List<GiveWayOrder> throttle(HostLoad load) {
        List<GiveWayOrder> orders = new ArrayList<>();
        List<BatchAttempt> left = new ArrayList<>(load.batch());
        left.removeIf(a -> a.throttled() || a.usedCpuMillicores() == 0);
        double excess = (load.pressure() - HIGH) * load.capacity().cpuMillicores();
        for (BatchAttempt attempt : List.copyOf(left)) {
            if (disturbs(attempt)) {
                orders.add(new GiveWayOrder(attempt.attempt(), AttemptAction.THROTTLE));
                excess -= saving(attempt);
                left.remove(attempt);
            }
        }
        while (excess > 0 && !left.isEmpty()) {
            BatchAttempt next = nextToThrottle(left, excess);
            orders.add(new GiveWayOrder(next.attempt(), AttemptAction.THROTTLE));
            excess -= saving(next);
            left.remove(next);
        }
        return orders;
    }

    /** Returns the smallest attempt that is enough alone, else the largest; urgent ones only when no other is left. */
    private static BatchAttempt nextToThrottle(List<BatchAttempt> left, double excess) {
        boolean onlyUrgent = left.stream().allMatch(BatchAttempt::urgent);
        Comparator<BatchAttempt> bySize = Comparator.comparingLong(BatchAttempt::usedCpuMillicores)
                .thenComparing(a -> a.attempt().toString());
        List<BatchAttempt> eligible = left.stream()
                .filter(a -> onlyUrgent || !a.urgent())
                .sorted(bySize)
                .toList();
        return eligible.stream().filter(a -> saving(a) >= excess).findFirst().orElse(eligible.get(eligible.size() - 1));
    }

    private static double saving(BatchAttempt attempt) {
        return attempt.usedCpuMillicores() * (1 - THROTTLED_SHARE);
    }

    private static boolean disturbs(BatchAttempt attempt) {
        return attempt.disturbance() > HARMFUL_DISTURBANCE;
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

    /** Lets throttled attempts return, small ones first, as long as the host is expected to stay below the mark. */
    private List<GiveWayOrder> comeBack(HostLoad load, State state, long nowMs) {
        boolean calm = state.lowSinceMs >= 0 && load.measuredAtMs() - state.lowSinceMs >= CALM_MS;
        if (!calm) {
            return List.of();
        }
        state.open = true;
        returns.setRate(Math.max(1, RETURNS_PER_HOST_SECOND * states.size()), nowMs);
        List<GiveWayOrder> orders = new ArrayList<>();
        double expected = load.pressure();
        List<BatchAttempt> smallestFirst = load.batch().stream()
                .filter(a -> a.throttled() && !disturbs(a))
                .sorted(Comparator.comparing((BatchAttempt a) -> !a.urgent())
                        .thenComparingLong(BatchAttempt::usedCpuMillicores)
                        .thenComparing(a -> a.attempt().toString()))
                .toList();
        for (BatchAttempt attempt : smallestFirst) {
            expected += attempt.usedCpuMillicores()
                    * (1 / THROTTLED_SHARE - 1)
                    / load.capacity().cpuMillicores();
            if (expected > HIGH || !returns.tryTake(0, nowMs)) {
                break;
            }
            orders.add(new GiveWayOrder(attempt.attempt(), AttemptAction.RUN));
        }
        return orders;
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
