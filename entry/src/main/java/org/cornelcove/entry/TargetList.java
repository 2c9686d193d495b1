package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.message.TargetLoad;

/**
 * The targets that this entry owns, as of the newest answer of the leader, which contains either a complete list or
 * changes to the list held.
 *
 * <p>A withdrawn target is kept here until it has no runs left, so that its slots remain counted if it is granted
 * again. Not thread-safe.
 */
final class TargetList implements AutoCloseable {
    private final TargetClient client;

    /** The grants of the list held. */
    private final Map<TargetId, TargetGrant> held = new TreeMap<>();

    /** Targets that are owned, or were owned and still have runs. */
    private final Map<TargetId, OwnedTarget> openTargets = new HashMap<>();

    /** Targets that were granted again with another address while they had runs at the old one. */
    private final List<OwnedTarget> replaced = new ArrayList<>();

    private long number;

    private TargetList(TargetClient client) {
        this.client = client;
    }

    /** Returns the list of an entry that owns nothing yet. */
    static TargetList empty(TargetClient client) {
        return new TargetList(client);
    }

    /** Returns the number of the heartbeat whose answer contained the list held, 0 for none. */
    long number() {
        return number;
    }

    /** Returns whether an answer is newer than the list held and, if it contains changes, is based on that list. */
    boolean isApplicable(GrantChanges changes, long heartbeatNumber) {
        return heartbeatNumber > number && (changes.isWhole() || changes.since() == number);
    }

    /**
     * Applies the answer to a heartbeat.
     *
     * @param changes the list or its changes
     * @param heartbeatNumber the number of that heartbeat
     * @param sentNs when it was sent
     * @param nowNs when the answer came
     * @return the targets by service
     */
    Map<String, List<OwnedTarget>> apply(GrantChanges changes, long heartbeatNumber, long sentNs, long nowNs) {
        Set<TargetId> mentioned = update(changes);
        number = heartbeatNumber;
        Map<String, List<OwnedTarget>> byService = new HashMap<>();
        for (TargetGrant grant : held.values()) {
            boolean isMentioned = mentioned.contains(grant.target().target());
            TargetGrant now = isMentioned
                    ? grant
                    : grant.withLoad(changes.freshMs(), grant.target().busySlots());
            byService
                    .computeIfAbsent(grant.target().service(), name -> new ArrayList<>())
                    .add(renewed(now, sentNs, nowNs));
        }
        return byService;
    }

    /** Updates the list held and returns the targets that the changes mention. */
    private Set<TargetId> update(GrantChanges changes) {
        if (changes.isWhole()) {
            held.clear();
        }
        Set<TargetId> mentioned = new HashSet<>();
        for (TargetGrant grant : changes.granted()) {
            held.put(grant.target().target(), grant);
            mentioned.add(grant.target().target());
        }
        for (TargetLoad load : changes.loads()) {
            held.computeIfPresent(load.target(), (target, grant) -> grant.withLoad(load.silentMs(), load.busySlots()));
            mentioned.add(load.target());
        }
        changes.withdrawn().forEach(held::remove);
        return mentioned;
    }

    private OwnedTarget renewed(TargetGrant grant, long sentNs, long nowNs) {
        OwnedTarget target = openTargets.get(grant.target().target());
        if (target != null && target.isSame(grant)) {
            target.renew(grant, sentNs, nowNs);
            return target;
        }
        if (target != null) {
            replaced.add(target);
        }
        OwnedTarget opened = OwnedTarget.open(grant, client, sentNs, nowNs);
        openTargets.put(opened.id(), opened);
        return opened;
    }

    /** Closes and removes targets that are no longer owned and have no runs; until then their slots remain counted. */
    void closeUnused(Map<String, List<OwnedTarget>> owned) {
        openTargets.values().removeIf(target -> {
            boolean unused = !owned.getOrDefault(target.service(), List.of()).contains(target) && target.isIdle();
            if (unused) {
                target.close();
            }
            return unused;
        });
        replaced.removeIf(target -> {
            if (target.isIdle()) {
                target.close();
            }
            return target.isIdle();
        });
    }

    @Override
    public void close() {
        openTargets.values().forEach(OwnedTarget::close);
        replaced.forEach(OwnedTarget::close);
    }
}
