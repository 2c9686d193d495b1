package org.cornelcove.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;

import org.cornelcove.model.id.EntryId;

/**
 * The validated settings of a daemon.
 *
 * @param roles the roles it runs
 * @param name the name of its entry
 * @param region the region it runs in
 * @param availabilityZone the availability zone it runs in
 * @param callerAddress the listener for callers
 * @param apiAddress the listener for operators, targets and workers
 * @param rpcAddress the listener for other daemons
 * @param dataFolder the folder of its durable state, empty without the control role
 * @param memberId its member id among the control hosts, 0 without the control role
 * @param controlMembers the rpc addresses of the control hosts by member id
 * @param drainMs how long it reports unready before it stops admitting requests, so that the load balancer notices
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
