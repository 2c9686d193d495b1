package org.cornelcove.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;

/**
 * The state that requests read, as of the newest answer of the leader. Immutable and replaced as a whole, so that a
 * request never sees a partial change.
 *
 * @param leased whether the leader ever answered
 * @param leaseEndNs when the lease expires, on the monotonic clock
 * @param configurationVersion the version of the rules
 * @param rules the rules
 * @param targetsByService the owned targets of each service
 * @param ranges the owned key ranges by number
 * @param peers the other entries
 */
record EntryView(
        boolean leased,
        long leaseEndNs,
        long configurationVersion,
        RuleSet rules,
        Map<String, List<OwnedTarget>> targetsByService,
        Map<Integer, OwnedRange> ranges,
        List<PeerEntry> peers) {

    /**
     * A range of exclusive keys that this entry owns.
     *
     * @param epoch the epoch of the ownership
     * @param servableFromNs from when no run of a previous owner can remain, on the monotonic clock
     */
    record OwnedRange(long epoch, long servableFromNs) {}

    static EntryView initial() {
        return new EntryView(false, 0, 0, RuleSet.empty(), Map.of(), Map.of(), List.of());
    }

    boolean isLeased(long nowNs) {
        return leased && leaseEndNs - nowNs > 0;
    }

    List<OwnedTarget> targetsOf(String service) {
        return targetsByService.getOrDefault(service, List.of());
    }

    /** Returns the service with the longest path prefix of the path. */
    Optional<ServiceRule> serviceOf(String path) {
        ServiceRule best = null;
        for (ServiceRule service : rules.services().values()) {
            if (path.startsWith(service.pathPrefix())
                    && (best == null
                            || service.pathPrefix().length() > best.pathPrefix().length())) {
                best = service;
            }
        }
        return Optional.ofNullable(best);
    }
}
