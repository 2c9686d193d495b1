package org.cornelcove.entry;

import java.net.InetSocketAddress;
import java.net.SocketAddress;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.policy.route.TargetHealth;
import org.glassfish.grizzly.connectionpool.SingleEndpointPool;

/**
 * A target that this entry owns: its slots, connections and health. The object lives on while the grant is renewed;
 * what the newest announcement says is swapped in as one immutable record.
 */
final class OwnedTarget implements AutoCloseable {
    private static final long NANOS_PER_MS = 1_000_000;

    /** Two tellings of the same announcement differ by no more than this in age. */
    private static final long SAME_ANNOUNCEMENT_NS = 400 * NANOS_PER_MS;

    private final TargetId target;
    private final InetSocketAddress address;
    private final SingleEndpointPool<SocketAddress> connections;
    private final TargetSlots slots;
    /** Targets are ejected under the exclusive lock of the {@link ServiceLine} only. */
    private final TargetHealth health = TargetHealth.create();

    private volatile Standing standing;

    /**
     * What is known at the moment.
     *
     * @param announcement the target's newest words
     * @param heardNs when they were heard, anywhere
     * @param epoch of the ownership
     * @param aloneSinceNs since then no previous owner starts anything, as far as this entry was told at first
     * @param holdUntilNs until then a previous owner's runs may hold slots
     * @param countedNs when slots were last counted by an announcement; only one heard later counts
     */
    private record Standing(
            TargetAnnouncement announcement,
            long heardNs,
            long epoch,
            long aloneSinceNs,
            long holdUntilNs,
            long countedNs) {}

    private OwnedTarget(
            TargetGrant grant,
            InetSocketAddress address,
            SingleEndpointPool<SocketAddress> connections,
            long askedNs,
            long nowNs) {
        this.target = grant.target().target();
        this.address = address;
        this.connections = connections;
        this.slots = new TargetSlots(grant.target().slots());
        this.standing = new Standing(
                grant.target(),
                askedNs - grant.silentMs() * NANOS_PER_MS,
                grant.epoch(),
                nowNs - grant.previousOverMs() * NANOS_PER_MS,
                nowNs + grant.previousHoldMs() * NANOS_PER_MS,
                nowNs);
        holdSlots(nowNs);
    }

    /**
     * Starts to own a target.
     *
     * @param grant the leader's words
     * @param client makes the connections
     * @param askedNs when the leader was asked; ages are counted from here, which makes them rather too old
     * @param nowNs when it answered; waiting times are counted from here, which makes them rather too long
     */
    static OwnedTarget open(TargetGrant grant, TargetClient client, long askedNs, long nowNs) {
        InetSocketAddress address = addressOf(grant.target());
        SingleEndpointPool<SocketAddress> pool =
                client.connectionsTo(address, grant.target().connections());
        return new OwnedTarget(grant, address, pool, askedNs, nowNs);
    }

    private static InetSocketAddress addressOf(TargetAnnouncement announcement) {
        String text = announcement.address();
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Tells whether the grant is about this very process, so that the slots and connections go on. */
    boolean isSame(TargetGrant grant) {
        return grant.target().target().equals(target)
                && grant.target().address().equals(standing.announcement.address())
                && grant.target().service().equals(standing.announcement.service());
    }

    /** Takes in a renewed grant; the instants are those of {@link #open}. */
    synchronized void renew(TargetGrant grant, long askedNs, long nowNs) {
        Standing old = standing;
        long heardNs = askedNs - grant.silentMs() * NANOS_PER_MS;
        boolean newer = heardNs - old.heardNs > SAME_ANNOUNCEMENT_NS;
        boolean takesBackLeaving = old.announcement.leaving() && !grant.target().leaving();
        boolean adopted = newer || (heardNs - old.heardNs >= 0 && !takesBackLeaving);
        boolean counts = heardNs - old.countedNs > 0;
        standing = new Standing(
                adopted ? grant.target() : old.announcement,
                adopted ? heardNs : old.heardNs,
                grant.epoch(),
                grant.epoch() == old.epoch ? old.aloneSinceNs : nowNs - grant.previousOverMs() * NANOS_PER_MS,
                nowNs + grant.previousHoldMs() * NANOS_PER_MS,
                counts ? nowNs : old.countedNs);
        if (counts) {
            slots.announced(grant.target().slots(), grant.target().busySlots(), heardNs);
        }
        holdSlots(nowNs);
    }

    /** Takes in an announcement that this entry heard itself. */
    synchronized void hear(TargetAnnouncement announcement, long nowNs) {
        Standing old = standing;
        standing = new Standing(announcement, nowNs, old.epoch, old.aloneSinceNs, old.holdUntilNs, nowNs);
        slots.announced(announcement.slots(), announcement.busySlots(), nowNs);
        holdSlots(nowNs);
    }

    private void holdSlots(long nowNs) {
        Standing now = standing;
        if (now.holdUntilNs - nowNs <= 0) {
            slots.holdForOthers(0);
            return;
        }
        boolean heardSinceAlone = now.heardNs - now.aloneSinceNs >= 0;
        slots.holdForOthers(heardSinceAlone ? now.announcement.busySlots() : slots.total());
    }

    /** Returns how many slots may be used now, those taken included; none while it is ejected, left or silent. */
    int usableSlots(long nowNs, long silenceNs) {
        return mayOpen(nowNs, silenceNs) ? health.usableSlots(Math.max(0, slots.limit()), nowNs / NANOS_PER_MS) : 0;
    }

    /** Takes a slot if one may be used now. */
    boolean tryTake(long nowNs, long silenceNs) {
        return slots.tryTake(usableSlots(nowNs, silenceNs));
    }

    int freeSlots(long nowNs, long silenceNs) {
        return Math.max(0, usableSlots(nowNs, silenceNs) - slots.active());
    }

    /** Tells whether the target may get new work now or after a while. */
    boolean mayOpen(long nowNs, long silenceNs) {
        Standing now = standing;
        return !now.announcement.leaving() && nowNs - now.heardNs <= silenceNs;
    }

    double load() {
        return (double) (slots.active() + slots.lingering()) / Math.max(1, slots.total());
    }

    TargetId id() {
        return target;
    }

    InetSocketAddress address() {
        return address;
    }

    String service() {
        return standing.announcement.service();
    }

    String availabilityZone() {
        return standing.announcement.availabilityZone();
    }

    long epoch() {
        return standing.epoch;
    }

    /** Tells whether nothing runs there as far as this entry knows. */
    boolean isIdle() {
        return slots.active() == 0 && slots.lingering() == 0;
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

    /** Closes idle connections; those with a request under way close after it. */
    @Override
    public void close() {
        connections.close();
    }
}
