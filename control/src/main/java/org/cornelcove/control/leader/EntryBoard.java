package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcove.control.state.EntryRecord;
import org.cornelcove.control.state.Ownership;
import org.cornelcove.control.state.OwnershipTable;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.TargetOwnership;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.message.RangeGrant;
import org.cornelcove.model.message.TargetGrant;

/**
 * Tracks the entries that sent heartbeats to this leader, their leases, and the target announcements they relayed.
 *
 * <p>Safety of a lease: it is granted only after a read barrier that was requested after the heartbeat arrived, so
 * this host was the leader then, and any later leader took over after the heartbeat was sent. That leader declares no
 * entry lapsed before one lease plus the drift bound have passed since it took over; by then the lease, which the entry
 * counts from its heartbeat, has expired.
 *
 * <p>For the first {@link Leases#GATHER_MS} a new leader refuses the heartbeat of an entry that owns a target whose
 * announcement it has not received yet: a grant includes the announcement, and a lease without the grant would take
 * the target from its owner.
 */
final class EntryBoard {
    private final Map<EntryId, LiveEntry> entries = new TreeMap<>();
    private final Map<TargetId, HeardAnnouncement> heard = new HashMap<>();
    private final Handovers<TargetId> targetHandovers = new Handovers<>();
    private final Handovers<Integer> rangeHandovers = new Handovers<>();
    private final GrantLists grantLists = new GrantLists();
    /** The registered incarnations when this host gained leadership. */
    private final Map<EntryId, Long> incarnationsAtGain = new HashMap<>();
    /** When the lease of the incarnation before the current one ends, for entries that restarted. */
    private final Map<EntryId, Long> earlierLeaseEndsMs = new HashMap<>();

    private long gainedMs;

    void reset(Tables tables, long nowMs) {
        entries.clear();
        earlierLeaseEndsMs.clear();
        incarnationsAtGain.clear();
        tables.entries().all().forEach(one -> incarnationsAtGain.put(one.entry(), one.incarnation()));
        heard.clear();
        grantLists.clear();
        targetHandovers.clear();
        rangeHandovers.clear();
        gainedMs = nowMs;
    }

    /** Renews the entry's lease. */
    EntryLease renew(EntryHeartbeat heartbeat, Tables tables, long nowMs) {
        EntryId entry = heartbeat.entry();
        if (tables.entries().incarnation(entry).orElse(-1) != heartbeat.incarnation()) {
            throw Failure.of(ErrorKind.ENTRY_FENCED, entry).asException();
        }
        heartbeat.targets().forEach(target -> recordAnnouncement(target, nowMs));
        if (nowMs < gainedMs + Leases.GATHER_MS && !allHeard(tables.ownership().targetsOf(entry))) {
            throw Failure.of(ErrorKind.LEADER_STARTING).asException();
        }
        LiveEntry before = entries.get(entry);
        Long earlier = before == null ? incarnationsAtGain.get(entry) : Long.valueOf(before.incarnation());
        if (earlier != null && earlier != heartbeat.incarnation()) {
            earlierLeaseEndsMs.put(entry, leaseEndMs(entry));
        }
        entries.put(entry, LiveEntry.heard(before, heartbeat, nowMs));
        return lease(heartbeat, tables, nowMs);
    }

    private void recordAnnouncement(HeardTarget target, long nowMs) {
        HeardAnnouncement now = new HeardAnnouncement(target.announcement(), nowMs - target.ageMs());
        heard.merge(target.announcement().target(), now, (a, b) -> b.heardMs() >= a.heardMs() ? b : a);
    }

    private boolean allHeard(Collection<TargetId> targets) {
        return heard.keySet().containsAll(targets);
    }

    private EntryLease lease(EntryHeartbeat heartbeat, Tables tables, long nowMs) {
        long version = tables.configuration().newest().version();
        boolean older = heartbeat.configurationVersion() != version;
        return new EntryLease(
                Leases.ENTRY_LEASE_MS,
                version,
                older ? Optional.of(tables.configuration().newest().rules()) : Optional.empty(),
                grantLists.next(heartbeat, targetGrants(heartbeat.entry(), tables, nowMs)),
                rangeGrants(heartbeat.entry(), tables, nowMs),
                peers(heartbeat.entry(), tables, nowMs));
    }

    private List<TargetGrant> targetGrants(EntryId entry, Tables tables, long nowMs) {
        List<TargetGrant> grants = new ArrayList<>();
        for (TargetId target : tables.ownership().targetsOf(entry)) {
            HeardAnnouncement last = heard.get(target);
            if (last == null || nowMs - last.heardMs() > Leases.TARGET_SILENCE_MS) {
                continue;
            }
            Ownership ownership = tables.ownership().targets().get(target).ownership();
            long silentMs = nowMs - last.heardMs();
            if (ownership.settled()) {
                grants.add(new TargetGrant(last.announcement(), ownership.epoch(), silentMs, 0, 0));
                continue;
            }
            Handover handover = handover(target, ownership, tables, nowMs);
            if (nowMs >= handover.dispatchableMs()) {
                long overMs = nowMs - handover.dispatchableMs();
                long holdMs = Math.max(0, handover.heldUntilMs() - nowMs);
                grants.add(new TargetGrant(last.announcement(), ownership.epoch(), silentMs, overMs, holdMs));
            }
        }
        return grants;
    }

    private List<RangeGrant> rangeGrants(EntryId entry, Tables tables, long nowMs) {
        List<RangeGrant> grants = new ArrayList<>();
        for (int range = 0; range < OwnershipTable.RANGES; range++) {
            Ownership ownership = tables.ownership().ranges().get(range);
            if (!ownership.owner().equals(Optional.of(entry))) {
                continue;
            }
            long waitMs = ownership.settled()
                    ? 0
                    : Math.max(0, handover(range, ownership, tables, nowMs).heldUntilMs() - nowMs);
            grants.add(new RangeGrant(range, ownership.epoch(), waitMs));
        }
        return grants;
    }

    private Handover handover(TargetId target, Ownership ownership, Tables tables, long nowMs) {
        return targetHandovers.of(
                target,
                ownership,
                previousLeaseEndMs(ownership, nowMs),
                tables.configuration().maxDeadlineMs(),
                nowMs);
    }

    private Handover handover(int range, Ownership ownership, Tables tables, long nowMs) {
        return rangeHandovers.of(
                range,
                ownership,
                previousLeaseEndMs(ownership, nowMs),
                tables.configuration().maxDeadlineMs(),
                nowMs);
    }

    private long previousLeaseEndMs(Ownership ownership, long nowMs) {
        return ownership.previous().map(this::leaseEndMs).orElse(nowMs);
    }

    /** Returns whether the target's epoch may be settled; an epoch that is first seen by this call may not. */
    boolean handedOver(TargetOwnership target, Tables tables, long nowMs) {
        return nowMs
                >= handover(target.target(), target.ownership(), tables, nowMs).heldUntilMs();
    }

    /** Returns whether the range's epoch may be settled. */
    boolean handedOver(int range, Ownership ownership, Tables tables, long nowMs) {
        return nowMs >= handover(range, ownership, tables, nowMs).heldUntilMs();
    }

    private List<PeerEntry> peers(EntryId asking, Tables tables, long nowMs) {
        List<PeerEntry> peers = new ArrayList<>();
        for (LiveEntry entry : live(nowMs)) {
            if (!entry.entry().equals(asking)) {
                peers.add(peer(entry, tables));
            }
        }
        return peers;
    }

    private PeerEntry peer(LiveEntry entry, Tables tables) {
        TreeMap<String, Integer> byService = new TreeMap<>();
        for (TargetId target : tables.ownership().targetsOf(entry.entry())) {
            HeardAnnouncement last = heard.get(target);
            if (last != null) {
                byService.merge(last.announcement().service(), 1, Integer::sum);
            }
        }
        List<Integer> ranges = new ArrayList<>();
        for (int range = 0; range < OwnershipTable.RANGES; range++) {
            if (tables.ownership().ranges().get(range).owner().equals(Optional.of(entry.entry()))) {
                ranges.add(range);
            }
        }
        return new PeerEntry(entry.entry(), entry.availabilityZone(), entry.rpcAddress(), byService, ranges);
    }

    /** Returns whether no incarnation of the entry can still hold a lease. */
    boolean lapsed(EntryId entry, long nowMs) {
        return nowMs >= leaseEndMs(entry);
    }

    /** Returns the time from which no incarnation of the entry can hold a lease, unless it is renewed before. */
    private long leaseEndMs(EntryId entry) {
        LiveEntry known = entries.get(entry);
        return Leases.entryLeaseEndMs(known == null ? gainedMs : known.renewedMs());
    }

    /** Returns the entries that sent a heartbeat to this leader and may hold a lease. */
    List<LiveEntry> live(long nowMs) {
        return entries.values().stream()
                .filter(entry -> !lapsed(entry.entry(), nowMs))
                .toList();
    }

    /** Returns the entries that can own targets and ranges: live and not draining, or all live ones if all drain. */
    List<LiveEntry> owners(long nowMs) {
        List<LiveEntry> live = live(nowMs);
        List<LiveEntry> staying =
                live.stream().filter(entry -> !entry.draining()).toList();
        return staying.isEmpty() ? live : staying;
    }

    Optional<LiveEntry> find(EntryId entry) {
        return Optional.ofNullable(entries.get(entry));
    }

    Optional<HeardAnnouncement> announcement(TargetId target) {
        return Optional.ofNullable(heard.get(target));
    }

    Collection<HeardAnnouncement> announcements() {
        return heard.values();
    }

    /** Removes the announcements of targets that have been silent for {@link Leases#TARGET_FORGET_MS}. */
    void forgetSilent(long nowMs) {
        heard.values().removeIf(last -> nowMs - last.heardMs() > Leases.TARGET_FORGET_MS);
    }

    /** Returns whether the target has been silent for so long that its owner should be removed. */
    boolean longSilent(TargetId target, long nowMs) {
        return nowMs - gainedMs > Leases.TARGET_FORGET_MS && !heard.containsKey(target);
    }

    void settled(TargetId target) {
        targetHandovers.forget(target);
    }

    boolean gathering(long nowMs) {
        return nowMs < gainedMs + Leases.GATHER_MS;
    }

    /** Returns the entries that may still serve by a version older than the given one. */
    List<EntryId> waitingFor(long version, Collection<EntryRecord> registered, long nowMs) {
        List<EntryId> waiting = new ArrayList<>();
        for (EntryRecord entry : registered) {
            LiveEntry known = entries.get(entry.entry());
            boolean acknowledged = known != null
                    && known.incarnation() == entry.incarnation()
                    && known.configurationVersion() >= version
                    && nowMs >= earlierLeaseEndsMs.getOrDefault(entry.entry(), nowMs);
            if (!acknowledged && !lapsed(entry.entry(), nowMs)) {
                waiting.add(entry.entry());
            }
        }
        return waiting;
    }
}
