package org.cornelcove.control.leader;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.message.EntryHeartbeat;

/**
 * The soft state of an entry that has sent a heartbeat to this leader.
 *
 * @param entry its name
 * @param incarnation identifies its process start
 * @param availabilityZone where it runs
 * @param rpcAddress where other entries reach it
 * @param configurationVersion the newest version it acknowledged
 * @param draining whether it hands over what it owns; stays set for this incarnation
 * @param renewedMs when its lease was last renewed, on the leader's clock
 */
record LiveEntry(
        EntryId entry,
        long incarnation,
        String availabilityZone,
        String rpcAddress,
        long configurationVersion,
        boolean draining,
        long renewedMs) {

    /** Merges a heartbeat, which may be older than one that arrived before it. */
    static LiveEntry heard(LiveEntry before, EntryHeartbeat heartbeat, long nowMs) {
        boolean same = before != null && before.incarnation() == heartbeat.incarnation();
        return new LiveEntry(
                heartbeat.entry(),
                heartbeat.incarnation(),
                heartbeat.availabilityZone(),
                heartbeat.rpcAddress(),
                same
                        ? Math.max(before.configurationVersion(), heartbeat.configurationVersion())
                        : heartbeat.configurationVersion(),
                heartbeat.draining() || same && before.draining(),
                nowMs);
    }
}
