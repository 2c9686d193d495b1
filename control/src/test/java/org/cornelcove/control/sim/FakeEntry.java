package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcove.control.leader.Leases;
import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.RangeGrant;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;

/** An entry that follows the protocol, with clock drift. */
final class FakeEntry {
    private long lastClaim;
    private static final long SAMPLE_MS = 25;

    final EntryId id;
    final Link link;
    private final Simulation sim;
    private final double clockRate;
    private final Map<TargetId, HeardTarget> announcements = new HashMap<>();
    private final Map<Integer, Long> serveRangeFromMs = new HashMap<>();
    private final Map<Integer, Long> rangeEpochs = new HashMap<>();
    private Set<TargetId> targets = Set.of();
    private long targetsNumber;
    private long incarnation = 1;
    private long version;
    private long leaseUntilMs;
    private long sentSequence;
    private long answeredSequence;
    private int nodeIndex;
    private boolean frozen;
    private boolean draining;

    FakeEntry(Simulation sim, String name, double clockRate) {
        this.sim = sim;
        this.id = EntryId.of(name);
        this.clockRate = clockRate;
        this.link = new Link(sim.time);
        sim.time.after(sim.time.between(0, 200), () -> sim.time.every(Leases.ENTRY_HEARTBEAT_MS, this::sendHeartbeat));
        sim.time.every(SAMPLE_MS, this::sample);
    }

    private long localMs() {
        return (long) (sim.time.nowMs() * clockRate);
    }

    /** Accepts an announcement, or refuses it without a lease, so that the target tries another entry. */
    boolean announce(TargetAnnouncement announcement) {
        boolean accepted = !frozen && (localMs() < leaseUntilMs || leaseUntilMs == 0);
        if (accepted) {
            announcements.put(announcement.target(), new HeardTarget(announcement, localMs()));
        }
        return accepted;
    }

    private void sendHeartbeat() {
        if (frozen) {
            return;
        }
        List<HeardTarget> heard = new ArrayList<>();
        for (HeardTarget target : announcements.values()) {
            heard.add(new HeardTarget(target.announcement(), localMs() - target.ageMs()));
        }
        long sequence = ++sentSequence;
        EntryHeartbeat heartbeat = new EntryHeartbeat(
                id, incarnation, "z", "rpc", "http", version, draining, heard, sequence, targetsNumber);
        long sentMs = localMs();
        long sentIncarnation = incarnation;
        link.call(() -> sim.group.node(nodeIndex).heartbeat(heartbeat), (lease, fault) -> {
            if (fault != null) {
                nodeIndex++;
            } else if (sentIncarnation == incarnation && !frozen && sequence > answeredSequence) {
                answeredSequence = sequence;
                applyLease(lease, sentMs, sequence);
            }
        });
        sim.time.after(600, () -> {
            if (answeredSequence < sequence) {
                nodeIndex++;
            }
        });
    }

    private void applyLease(EntryLease lease, long sentMs, long sequence) {
        if (!lease.targets().isWhole() && lease.targets().since() != targetsNumber) {
            return;
        }
        lease.rules().ifPresent(rules -> version = Math.max(version, lease.configurationVersion()));
        leaseUntilMs = Math.max(leaseUntilMs, sentMs + lease.leaseMs());
        applyTargetChanges(lease.targets());
        targetsNumber = sequence;
        Map<Integer, Long> previousFromMs = new HashMap<>(serveRangeFromMs);
        serveRangeFromMs.clear();
        for (RangeGrant grant : lease.ranges()) {
            long fromMs = localMs() + (long) (grant.waitMs() * 1.02);
            boolean sameEpoch = rangeEpochs.getOrDefault(grant.range(), -1L) == grant.epoch();
            serveRangeFromMs.put(
                    grant.range(),
                    sameEpoch ? Math.min(fromMs, previousFromMs.getOrDefault(grant.range(), fromMs)) : fromMs);
            rangeEpochs.put(grant.range(), grant.epoch());
        }
    }

    private void applyTargetChanges(GrantChanges changes) {
        Set<TargetId> newTargets = changes.isWhole() ? new TreeSet<>() : new TreeSet<>(targets);
        for (TargetGrant grant : changes.granted()) {
            newTargets.add(grant.target().target());
        }
        if (sim.mutant != Mutant.WITHDRAWALS_IGNORED) {
            newTargets.removeAll(changes.withdrawn());
        }
        targets = newTargets;
    }

    private boolean canServe() {
        return !frozen && version > 0 && localMs() < leaseUntilMs;
    }

    private void sample() {
        if (!canServe()) {
            return;
        }
        Set<Integer> ranges = new TreeSet<>();
        serveRangeFromMs.forEach((range, fromMs) -> {
            if (localMs() >= fromMs) {
                ranges.add(range);
            }
        });
        sim.history.servings.add(new History.Serving(sim.time.nowMs(), id, version, Set.copyOf(targets), ranges));
    }

    /** Claims a key for a request; after a grant the request is dispatched once, or the claim released as refused. */
    void claim(String key) {
        if (frozen) {
            return;
        }
        ClaimOnce command = new ClaimOnce(key, "digest", id, incarnation, ++lastClaim);
        boolean[] answered = {false};
        link.call(() -> sim.group.node(nodeIndex).execute(command), (outcome, fault) -> {
            if (answered[0] || !(outcome instanceof ClaimGranted)) {
                return;
            }
            answered[0] = true;
            long index = ((ClaimGranted) outcome).index();
            if (sim.time.random().nextInt(3) == 0) {
                release(new ReleaseClaim(key, id, command.incarnation(), command.claimNumber()));
            } else {
                sim.history.dispatches.add(new History.Dispatch(key, id, index));
            }
        });
    }

    private void release(ReleaseClaim command) {
        link.call(() -> sim.group.node(nodeIndex).execute(command), (outcome, fault) -> {});
    }

    public void freeze() {
        frozen = true;
    }

    public void thaw() {
        frozen = false;
    }

    public void drain() {
        draining = true;
    }

    public void restart() {
        incarnation++;
        version = 0;
        leaseUntilMs = 0;
        targets = Set.of();
        targetsNumber = 0;
        serveRangeFromMs.clear();
        rangeEpochs.clear();
        frozen = false;
        draining = false;
    }
}
