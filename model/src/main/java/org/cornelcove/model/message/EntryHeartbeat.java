package org.cornelcove.model.message;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * An entry's heartbeat to the leader, several times a second.
 *
 * @param entry its name
 * @param incarnation a number that is new at each start of the process
 * @param availabilityZone the availability zone it runs in
 * @param rpcAddress the address for other entries, {@code ip:port}
 * @param httpAddress the address for callers, {@code ip:port}
 * @param configurationVersion the version that it applies now
 * @param draining whether it is handing over what it owns
 * @param targets announcements received since the last heartbeat
 * @param number rises with each heartbeat of this incarnation, from 1
 * @param grantsOf the number of the heartbeat whose answer carried the entry's current list of targets, 0 for none
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
