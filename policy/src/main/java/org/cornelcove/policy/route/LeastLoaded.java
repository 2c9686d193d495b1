package org.cornelcove.policy.route;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the least loaded target with a free slot. Targets in other availability zones count as {@code ZONE_PREFERENCE}
 * more loaded, so that a request leaves the zone only if that outweighs the network latency. Ties are broken round robin.
 */
public final class LeastLoaded {
    private static final double ZONE_PREFERENCE = 0.25;

    private LeastLoaded() {}

    /**
     * Chooses a target.
     *
     * @param <T> the type of the targets
     * @param candidates targets with a free slot
     * @param load returns the share of a target's slots in use
     * @param isNear checks whether a target is in the entry's availability zone
     * @param turn a counter that is incremented for each choice
     * @return the target; empty if there are no candidates
     */
    public static <T> Optional<T> choose(List<T> candidates, ToDoubleFunction<T> load, Predicate<T> isNear, int turn) {
        T best = null;
        double bestLoad = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            T target = candidates.get(Math.floorMod(i + turn, candidates.size()));
            double preference = load.applyAsDouble(target) + (isNear.test(target) ? 0 : ZONE_PREFERENCE);
            if (preference < bestLoad) {
                best = target;
                bestLoad = preference;
            }
        }
        return Optional.ofNullable(best);
    }
}
