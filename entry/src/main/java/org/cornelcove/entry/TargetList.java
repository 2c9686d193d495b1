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
 * The targets that this entry owns, as of the newest answer of the leader: a whole list or changes of the one held.
 *
 * <p>A target lives on here after it was withdrawn until nothing of it runs, so that its slots stay counted if it is
 * granted again. Not thread-safe.
 */
final class TargetList implements AutoCloseable {
    private final TargetClient client;

    /** The grants of the list held. */
    private final Map<TargetId, TargetGrant> held = new TreeMap<>();

    /** Targets that are owned, or were and still run something. */
    private final Map<TargetId, OwnedTarget> known = new HashMap<>();

    /** Targets that came back under another address while something ran at the old one. */
    private final List<OwnedTarget> replaced = new ArrayList<>();

    private long number;

    private TargetList(TargetClient client) {
        this.client = client;
    }

    /** Returns the list of an entry that owns nothing yet. */
    static TargetList empty(TargetClient client) {
        return new TargetList(client);
    }

    /** The heartbeat whose answer brought the list held, 0 for none. */
    long number() {
        return number;
    }

    /** Tells whether the answer to a heartbeat is newer than the list held, and goes on from it if it tells changes. */
    boolean takes(GrantChanges changes, long answered) {
        return answered > number && (changes.isWhole() || changes.since() == number);
    }

    /**
     * Takes in an answer.
     *
     * @param changes the list or its changes
     * @param answered the heartbeat that was answered
     * @param sentNs when it was sent
     * @param nowNs when the answer came
     * @return the targets by service
     */
    Map<String, List<OwnedTarget>> apply(GrantChanges changes, long answered, long sentNs, long nowNs) {
        Set<TargetId> told = takeIn(changes);
        number = answered;
        Map<String, List<OwnedTarget>> byService = new HashMap<>();
        for (TargetGrant grant : held.values()) {
            boolean named = told.contains(grant.target().target());
            TargetGrant now = named
                    ? grant
                    : grant.heard(changes.freshMs(), grant.target().busySlots());
            byService
                    .computeIfAbsent(grant.target().service(), name -> new ArrayList<>())
                    .add(renewed(now, sentNs, nowNs));
        }
        return byService;
    }

    /** Brings the list held up to date and returns the targets that were named. */
    private Set<TargetId> takeIn(GrantChanges changes) {
        if (changes.isWhole()) {
            held.clear();
        }
        Set<TargetId> told = new HashSet<>();
        for (TargetGrant grant : changes.granted()) {
            held.put(grant.target().target(), grant);
            told.add(grant.target().target());
        }
        for (TargetLoad load : changes.loads()) {
            held.computeIfPresent(load.target(), (target, grant) -> grant.heard(load.silentMs(), load.busySlots()));
            told.add(load.target());
        }
        changes.withdrawn().forEach(held::remove);
        return told;
    }

    private OwnedTarget renewed(TargetGrant grant, long sentNs, long nowNs) {
        OwnedTarget target = known.get(grant.target().target());
        if (target != null && target.isSame(grant)) {
            target.renew(grant, sentNs, nowNs);
            return target;
        }
        if (target != null) {
            replaced.add(target);
        }
        OwnedTarget opened = OwnedTarget.open(grant, client, sentNs, nowNs);
        known.put(opened.id(), opened);
        return opened;
    }

    /** Forgets targets that are no longer owned once nothing of theirs runs; till then their slots stay counted. */
    void closeUnused(Map<String, List<OwnedTarget>> owned) {
        known.values().removeIf(target -> {
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
        known.values().forEach(OwnedTarget::close);
        replaced.forEach(OwnedTarget::close);
    }
}
