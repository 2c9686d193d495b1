package org.cornelcove.model.message;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * An entry's heartbeat to the leader, several times a second.
 *
 * @param entry its name
 * @param incarnation a number that is new at each start of the process
 * @param availabilityZone where it runs
 * @param rpcAddress where other entries reach it, {@code ip:port}
 * @param httpAddress where callers reach it, {@code ip:port}
 * @param configurationVersion the version that it applies now
 * @param draining it hands over what it owns
 * @param targets announcements received since the last heartbeat
 */
public record EntryHeartbeat(
        EntryId entry,
        long incarnation,
        String availabilityZone,
        String rpcAddress,
        String httpAddress,
        long configurationVersion,
        boolean draining,
        List<HeardTarget> targets) {}
