package org.cornelcove.policy.route;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The least loaded of the targets with a free slot. Those of the own availability zone count as {@code ZONE_PREFERENCE}
 * less loaded, so that requests leave the zone only when it pays for the way; among equals they take turns.
 */
public final class LeastLoaded {
    private static final double ZONE_PREFERENCE = 0.25;

    private LeastLoaded() {}

    /**
     * Chooses a target.
     *
     * @param <T> the kind of the targets
     * @param candidates targets with a free slot
     * @param load the share of a target's slots that is taken
     * @param isNear whether a target is in the own availability zone
     * @param turn a number that goes up with each choice
     * @return the target; empty when there is none
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
