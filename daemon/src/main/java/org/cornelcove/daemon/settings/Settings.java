package org.cornelcove.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;

import org.cornelcove.model.id.EntryId;

/**
 * Checked settings of one daemon.
 *
 * @param roles what it does
 * @param name the name of its entry
 * @param region where it runs
 * @param availabilityZone where it runs
 * @param callerAddress where callers reach it
 * @param apiAddress where operators, targets and workers reach it
 * @param rpcAddress where other daemons reach it
 * @param dataFolder where its durable state lives, present with the control role
 * @param memberId its member id among the control hosts, 0 without the control role
 * @param controlMembers the rpc addresses of the control hosts by member id
 * @param drainMs how long it stays unready before it stops to admit, for the balancer to notice
 */
public record Settings(
        Set<Role> roles,
        EntryId name,
        String region,
        String availabilityZone,
        InetSocketAddress callerAddress,
        InetSocketAddress apiAddress,
        InetSocketAddress rpcAddress,
        Optional<Path> dataFolder,
        long memberId,
        SortedMap<Long, String> controlMembers,
        long drainMs) {
    /** Returns whether the daemon has the role. */
    public boolean has(Role role) {
        return roles.contains(role);
    }
}
