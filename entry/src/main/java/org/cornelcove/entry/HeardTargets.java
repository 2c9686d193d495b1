package org.cornelcove.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.TargetAnnouncement;

/**
 * The announcements that this entry heard, and which of them the leader knows. Announcements that are too old to count
 * are forgotten. Thread-safe.
 */
final class HeardTargets {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The newest announcement of each target that was heard here. */
    private final Map<TargetId, Heard> heard = new ConcurrentHashMap<>();

    /** What the current leader was told, as far as an answer shows it. */
    private final Map<TargetId, Heard> told = new ConcurrentHashMap<>();

    private final long silenceNs;

    private HeardTargets(long silenceMs) {
        this.silenceNs = silenceMs * NANOS_PER_MS;
    }

    /**
     * An announcement.
     *
     * @param announcement the target's words
     * @param atNs when it was heard
     */
    record Heard(TargetAnnouncement announcement, long atNs) {
        HeardTarget asOf(long nowNs) {
            return new HeardTarget(announcement, (nowNs - atNs) / NANOS_PER_MS);
        }
    }

    static HeardTargets none(long silenceMs) {
        return new HeardTargets(silenceMs);
    }

    void hear(TargetAnnouncement announcement, long nowNs) {
        heard.put(announcement.target(), new Heard(announcement, nowNs));
    }

    /** Returns what the leader is to be told. */
    List<Heard> untold(long nowNs) {
        heard.values().removeIf(one -> nowNs - one.atNs > silenceNs);
        told.keySet().retainAll(heard.keySet());
        return heard.values().stream()
                .filter(one -> !one.equals(told.get(one.announcement.target())))
                .toList();
    }

    /** Notes that the leader knows these. */
    void told(List<Heard> known) {
        known.forEach(one -> told.put(one.announcement.target(), one));
    }

    /** Notes that there may be a new leader, which knows none. */
    void nothingTold() {
        told.clear();
    }
}
