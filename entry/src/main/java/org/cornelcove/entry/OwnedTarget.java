package org.cornelcove.entry;

import java.net.InetSocketAddress;
import java.net.SocketAddress;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.policy.route.TargetHealth;
import org.glassfish.grizzly.connectionpool.SingleEndpointPool;

/**
 * A target that this entry owns: its slots, connections and health. The object is kept while the grant is renewed; the
 * state from the newest announcement is replaced as one immutable record.
 */
final class OwnedTarget implements AutoCloseable {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The largest difference in age between two receipts of the same announcement, directly and via the leader. */
    private static final long MAX_RECEIPT_DIFFERENCE_NS = 400 * NANOS_PER_MS;

    private final TargetId target;
    private final InetSocketAddress address;
    private final SingleEndpointPool<SocketAddress> connections;
    private final TargetSlots slots;
    /** Targets are ejected under the exclusive lock of the {@link ServiceLine} only. */
    private final TargetHealth health = TargetHealth.create();

    private volatile State state;

    /**
     * The current state from announcements and grants; instants are of the monotonic clock.
     *
     * @param announcement the newest announcement
     * @param receivedNs when it was received, here or at another entry
     * @param epoch the epoch of the ownership
     * @param exclusiveSinceNs since when no previous owner starts requests, as stated by the first grant of this epoch
     * @param reservedUntilNs until when runs of a previous owner may occupy slots
     * @param slotsUpdatedNs when an announcement last updated the slot counts; only announcements received later do so
     */
    private record State(
            TargetAnnouncement announcement,
            long receivedNs,
            long epoch,
            long exclusiveSinceNs,
            long reservedUntilNs,
            long slotsUpdatedNs) {}

    private OwnedTarget(
            TargetGrant grant,
            InetSocketAddress address,
            SingleEndpointPool<SocketAddress> connections,
            long requestedNs,
            long nowNs) {
        this.target = grant.target().target();
        this.address = address;
        this.connections = connections;
        this.slots = new TargetSlots(grant.target().slots());
        this.state = new State(
                grant.target(),
                requestedNs - grant.silentMs() * NANOS_PER_MS,
                grant.epoch(),
                nowNs - grant.previousOverMs() * NANOS_PER_MS,
                nowNs + grant.previousHoldMs() * NANOS_PER_MS,
                nowNs);
        reserveSlots(nowNs);
    }

    /**
     * Creates the state of a newly granted target.
     *
     * @param grant the grant of the leader
     * @param client creates the connection pool
     * @param requestedNs when the heartbeat was sent; ages are counted from here, which overestimates them
     * @param nowNs when its answer arrived; waiting times are counted from here, which overestimates them
     */
    static OwnedTarget open(TargetGrant grant, TargetClient client, long requestedNs, long nowNs) {
        InetSocketAddress address = addressOf(grant.target());
        SingleEndpointPool<SocketAddress> pool =
                client.connectionsTo(address, grant.target().connections());
        return new OwnedTarget(grant, address, pool, requestedNs, nowNs);
    }

    private static InetSocketAddress addressOf(TargetAnnouncement announcement) {
        String text = announcement.address();
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns whether the grant is for the same target process, so that slots and connections are kept. */
    boolean isSame(TargetGrant grant) {
        return grant.target().target().equals(target)
                && grant.target().address().equals(state.announcement.address())
                && grant.target().service().equals(state.announcement.service());
    }

    /** Applies a renewed grant; the instants are those of {@link #open}. */
    synchronized void renew(TargetGrant grant, long requestedNs, long nowNs) {
        State old = state;
        long receivedNs = requestedNs - grant.silentMs() * NANOS_PER_MS;
        boolean newer = receivedNs - old.receivedNs > MAX_RECEIPT_DIFFERENCE_NS;
        boolean revokesLeaving = old.announcement.leaving() && !grant.target().leaving();
        boolean adopted = newer || (receivedNs - old.receivedNs >= 0 && !revokesLeaving);
        boolean updatesSlots = receivedNs - old.slotsUpdatedNs > 0;
        state = new State(
                adopted ? grant.target() : old.announcement,
                adopted ? receivedNs : old.receivedNs,
                grant.epoch(),
                grant.epoch() == old.epoch ? old.exclusiveSinceNs : nowNs - grant.previousOverMs() * NANOS_PER_MS,
                nowNs + grant.previousHoldMs() * NANOS_PER_MS,
                updatesSlots ? nowNs : old.slotsUpdatedNs);
        if (updatesSlots) {
            slots.applyAnnouncement(grant.target().slots(), grant.target().busySlots(), receivedNs);
        }
        reserveSlots(nowNs);
    }

    /** Applies an announcement that this entry received directly. */
    synchronized void receive(TargetAnnouncement announcement, long nowNs) {
        State old = state;
        state = new State(announcement, nowNs, old.epoch, old.exclusiveSinceNs, old.reservedUntilNs, nowNs);
        slots.applyAnnouncement(announcement.slots(), announcement.busySlots(), nowNs);
        reserveSlots(nowNs);
    }

    private void reserveSlots(long nowNs) {
        State now = state;
        if (now.reservedUntilNs - nowNs <= 0) {
            slots.reserveForPreviousOwner(0);
            return;
        }
        boolean receivedSinceExclusive = now.receivedNs - now.exclusiveSinceNs >= 0;
        slots.reserveForPreviousOwner(receivedSinceExclusive ? now.announcement.busySlots() : slots.total());
    }

    /** Returns how many slots may be used now, including taken ones; 0 while it is ejected, leaving or silent. */
    int usableSlots(long nowNs, long silenceNs) {
        return isAvailable(nowNs, silenceNs) ? health.usableSlots(Math.max(0, slots.limit()), nowNs / NANOS_PER_MS) : 0;
    }

    /** Takes a slot if a usable one is free. */
    boolean tryTake(long nowNs, long silenceNs) {
        return slots.tryTake(usableSlots(nowNs, silenceNs));
    }

    int freeSlots(long nowNs, long silenceNs) {
        return Math.max(0, usableSlots(nowNs, silenceNs) - slots.active());
    }

    /** Returns whether the target may receive new work now or once an ejection ends. */
    boolean isAvailable(long nowNs, long silenceNs) {
        State now = state;
        return !now.announcement.leaving() && nowNs - now.receivedNs <= silenceNs;
    }

    double load() {
        return (double) (slots.active() + slots.orphaned()) / Math.max(1, slots.total());
    }

    TargetId id() {
        return target;
    }

    InetSocketAddress address() {
        return address;
    }

    String service() {
        return state.announcement.service();
    }

    String availabilityZone() {
        return state.announcement.availabilityZone();
    }

    long epoch() {
        return state.epoch;
    }

    /** Returns whether no run of this entry is known to be active or possibly running there. */
    boolean isIdle() {
        return slots.active() == 0 && slots.orphaned() == 0;
    }

    TargetSlots slots() {
        return slots;
    }

    TargetHealth health() {
        return health;
    }

    SingleEndpointPool<SocketAddress> connections() {
        return connections;
    }

    /** Closes idle connections; those with a request in progress are closed after it. */
    @Override
    public void close() {
        connections.close();
    }
}
