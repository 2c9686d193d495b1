package org.cornelcove.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.TargetAnnouncement;

/**
 * The announcements that this entry received, and which of them the leader has acknowledged. Announcements older than
 * the target silence limit are removed. Thread-safe.
 */
final class ReceivedAnnouncements {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The newest announcement of each target that was received here. */
    private final Map<TargetId, Received> received = new ConcurrentHashMap<>();

    /** The announcements that were sent in a heartbeat answered by the current leader. */
    private final Map<TargetId, Received> acknowledged = new ConcurrentHashMap<>();

    private final long silenceNs;

    private ReceivedAnnouncements(long silenceMs) {
        this.silenceNs = silenceMs * NANOS_PER_MS;
    }

    /**
     * A received announcement.
     *
     * @param announcement the announcement
     * @param atNs when it was received
     */
    record Received(TargetAnnouncement announcement, long atNs) {
        HeardTarget asOf(long nowNs) {
            return new HeardTarget(announcement, (nowNs - atNs) / NANOS_PER_MS);
        }
    }

    static ReceivedAnnouncements none(long silenceMs) {
        return new ReceivedAnnouncements(silenceMs);
    }

    void add(TargetAnnouncement announcement, long nowNs) {
        received.put(announcement.target(), new Received(announcement, nowNs));
    }

    /** Returns the announcements to send to the leader. */
    List<Received> unacknowledged(long nowNs) {
        received.values().removeIf(one -> nowNs - one.atNs > silenceNs);
        acknowledged.keySet().retainAll(received.keySet());
        return received.values().stream()
                .filter(one -> !one.equals(acknowledged.get(one.announcement.target())))
                .toList();
    }

    /** Marks announcements as acknowledged by the leader. */
    void acknowledge(List<Received> sent) {
        sent.forEach(one -> acknowledged.put(one.announcement.target(), one));
    }

    /** Marks all announcements as unacknowledged, since there may be a new leader that has none of them. */
    void clearAcknowledged() {
        acknowledged.clear();
    }
}
