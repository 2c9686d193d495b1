package org.cornelcove.entry;

import java.util.List;
import java.util.Optional;

/** Chooses among the targets that may take a request now. */
@FunctionalInterface
interface TargetChoice {
    /** The least loaded target of the own availability zone that has a free slot, else the least loaded of all. */
    TargetChoice LEAST_LOADED = TargetChoice::leastLoaded;

    /**
     * Chooses a target.
     *
     * @param targets those open for new work
     * @param availabilityZone where the entry runs
     * @return the target, empty when no slot is free
     */
    Optional<OwnedTarget> choose(List<OwnedTarget> targets, String availabilityZone);

    private static Optional<OwnedTarget> leastLoaded(List<OwnedTarget> targets, String zone) {
        OwnedTarget best = null;
        boolean bestNear = false;
        double bestLoad = 0;
        for (OwnedTarget target : targets) {
            if (target.freeSlots() <= 0) {
                continue;
            }
            boolean near = target.availabilityZone().equals(zone);
            double load = target.load();
            if (best == null || (near != bestNear ? near : load < bestLoad)) {
                best = target;
                bestNear = near;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
