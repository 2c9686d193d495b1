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
 * @param number rises with each heartbeat of this start, from 1
 * @param grantsOf the heartbeat whose answer brought the list of targets that the entry holds, 0 for none
 */
public record EntryHeartbeat(
        EntryId entry,
        long incarnation,
        String availabilityZone,
        String rpcAddress,
        String httpAddress,
        long configurationVersion,
        boolean draining,
        List<HeardTarget> targets,
        long number,
        long grantsOf) {}
