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
 * Throttles and evicts batch work on a host whose services need the resources, and restores it when the load falls.
 *
 * <p>Above {@code HIGH}, attempts are throttled until the expected CPU use is below that threshold; throttling takes
 * effect immediately and loses no work. An attempt that is known to disturb a service at its current load is throttled
 * regardless of CPU use. One attempt is evicted only if the host has been above {@code HIGH} for {@code EVICT_AFTER_MS}
 * and no attempt is left to throttle: the one with the most recent checkpoint, which loses the least work per freed CPU.
 * A host short of memory evicts immediately, first attempts that exceed their declared memory. A host whose memory is
 * full because all attempts use what they were placed with evicts none: the work would be placed there and evicted again
 * indefinitely. All evictions count against one budget of the cluster. After {@code CALM_MS} below {@code LOW},
 * throttled attempts return to full rate, with a rate limit for the cluster, and only while the host is expected to stay
 * below {@code HIGH}.
 *
 * <p>Measurements arrive late. A measurement taken before the last order to a host took effect is ignored, so that the
 * same load does not cause two reactions. The gap between the thresholds prevents a load that oscillates around one of
 * them from alternately throttling and restoring attempts.
 *
 * <p>Evicting without throttling first was rejected: a load peak of seconds would cost minutes of work, and all evicted
 * work would return at the same time. Not thread-safe.
 */
public final class BatchThrottler {
    /** The share of its CPU use that a throttled attempt retains. */
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

    private BatchThrottler(EvictionBudget evictions) {
        this.evictions = evictions;
        returns = TokenBucket.full(1, RETURNS_STORED);
    }

    /**
     * Returns an instance without any host state.
     *
     * @param evictions the cluster's eviction budget
     * @return the instance
     */
    public static BatchThrottler of(EvictionBudget evictions) {
        return new BatchThrottler(evictions);
    }

    /**
     * Decides on one host after a measurement.
     *
     * @param load the measurement
     * @param nowMs the current instant
     * @return the orders; empty for most measurements
     */
    public List<BatchOrder> decide(HostLoad load, long nowMs) {
        State state = states.computeIfAbsent(load.host(), h -> new State());
        if (load.measuredAtMs() < state.settledAtMs) {
            return List.of();
        }
        state.note(load.pressure(), load.measuredAtMs());
        Optional<BatchOrder> forMemory = relieveMemory(load, state, nowMs);
        if (forMemory.isPresent()) {
            state.settledAtMs = nowMs + SETTLE_MS;
            return List.of(forMemory.get());
        }
        List<BatchOrder> orders =
                mustRelieveCpu(load, state) ? relieveCpu(load, state, nowMs) : restoreThrottled(load, state, nowMs);
        if (!orders.isEmpty()) {
            state.settledAtMs = nowMs + SETTLE_MS;
        }
        return orders;
    }

    /**
     * Checks whether a host accepts batch work now.
     *
     * @param host the host
     * @return true also for an unknown host
     */
    public boolean isOpenForBatch(HostId host) {
        State state = states.get(host);
        return state == null || state.open;
    }

    /**
     * Removes the state of a host that left the cluster.
     *
     * @param host the host
     */
    public void forget(HostId host) {
        states.remove(host);
    }

    /** Evicts one attempt, preferably one above its declared memory, because throttling frees no memory. */
    private Optional<BatchOrder> relieveMemory(HostLoad load, State state, long nowMs) {
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
        return Optional.of(new BatchOrder(victim.get().attempt(), AttemptAction.EVICT));
    }

    private static boolean mustRelieveCpu(HostLoad load, State state) {
        return state.isHigh() || load.batch().stream().anyMatch(a -> !a.throttled() && disturbs(a));
    }

    private List<BatchOrder> relieveCpu(HostLoad load, State state, long nowMs) {
        List<BatchOrder> orders = new ArrayList<>(throttle(load));
        if (!orders.isEmpty()) {
            return orders;
        }
        boolean highForLong = state.isHigh() && load.measuredAtMs() - state.highSinceMs >= EVICT_AFTER_MS;
        Optional<BatchAttempt> victim = highForLong ? victim(load.batch()) : Optional.empty();
        if (victim.isPresent() && evictions.tryTake(nowMs)) {
            orders.add(new BatchOrder(victim.get().attempt(), AttemptAction.EVICT));
        }
        return orders;
    }

    /** Throttles disturbing attempts, then others, urgent ones last, until the expected use is below {@code HIGH}. */
    private static List<BatchOrder> throttle(HostLoad load) {
        List<BatchOrder> orders = new ArrayList<>();
        List<BatchAttempt> left = new ArrayList<>(load.batch());
        left.removeIf(a -> a.throttled() || a.usedCpuMillicores() == 0);
        double excess = (load.pressure() - HIGH) * load.capacity().cpuMillicores();
        for (BatchAttempt attempt : List.copyOf(left)) {
            if (disturbs(attempt)) {
                orders.add(new BatchOrder(attempt.attempt(), AttemptAction.THROTTLE));
                excess -= saving(attempt);
                left.remove(attempt);
            }
        }
        while (excess > 0 && !left.isEmpty()) {
            BatchAttempt next = nextToThrottle(left, excess);
            orders.add(new BatchOrder(next.attempt(), AttemptAction.THROTTLE));
            excess -= saving(next);
            left.remove(next);
        }
        return orders;
    }

    /** Returns the smallest attempt that suffices alone, else the largest; urgent ones only if no other is left. */
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
     * Chooses the attempt to evict: the one with the shortest time since its checkpoint, because it loses the least work
     * per freed CPU.
     *
     * @param batch the attempts on a host
     * @return the attempt; empty if all are urgent or there are none
     */
    public static Optional<BatchAttempt> victim(List<BatchAttempt> batch) {
        return batch.stream()
                .filter(a -> !a.urgent())
                .min(Comparator.comparingLong(BatchAttempt::sinceCheckpointMs)
                        .thenComparing(a -> a.attempt().toString()));
    }

    /** Restores throttled attempts to full rate, urgent and small ones first, while the expected use permits. */
    private List<BatchOrder> restoreThrottled(HostLoad load, State state, long nowMs) {
        boolean calm = state.lowSinceMs >= 0 && load.measuredAtMs() - state.lowSinceMs >= CALM_MS;
        if (!calm) {
            return List.of();
        }
        state.open = true;
        returns.setRate(Math.max(1, RETURNS_PER_HOST_SECOND * states.size()), nowMs);
        List<BatchOrder> orders = new ArrayList<>();
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
            orders.add(new BatchOrder(attempt.attempt(), AttemptAction.RUN));
        }
        return orders;
    }

    /** Load state of one host. */
    private static final class State {
        private static final long NEVER = -1;

        private long highSinceMs = NEVER;
        private long lowSinceMs = NEVER;
        /** Measurements before this time do not yet show the effect of the last order. */
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
