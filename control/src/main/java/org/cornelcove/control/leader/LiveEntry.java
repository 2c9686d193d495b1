package org.cornelcove.control.leader;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.message.EntryHeartbeat;

/**
 * What the leader knows of an entry that it has heard.
 *
 * @param entry its name
 * @param incarnation its start
 * @param availabilityZone where it runs
 * @param rpcAddress where other entries reach it
 * @param configurationVersion the newest version it acknowledged
 * @param draining it hands over what it owns; stays set for this start
 * @param renewedMs when its lease was last renewed
 */
record LiveEntry(
        EntryId entry,
        long incarnation,
        String availabilityZone,
        String rpcAddress,
        long configurationVersion,
        boolean draining,
        long renewedMs) {

    /** Merges a heartbeat, which may be older than one that came before it. */
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
