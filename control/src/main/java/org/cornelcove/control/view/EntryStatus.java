package org.cornelcove.control.view;

import org.cornelcove.model.id.EntryId;

/**
 * One entry as the leader sees it.
 *
 * @param entry its name
 * @param incarnation its newest incarnation
 * @param availabilityZone where it runs, empty until its first heartbeat to this leader
 * @param rpcAddress where other daemons reach it, empty until its first heartbeat to this leader
 * @param live whether it may hold a lease
 * @param draining whether it hands over what it owns
 * @param configurationVersion the version it last acknowledged
 * @param targets the number of targets it owns
 * @param ranges the number of key ranges it owns
 */
public record EntryStatus(
        EntryId entry,
        long incarnation,
        String availabilityZone,
        String rpcAddress,
        boolean live,
        boolean draining,
        long configurationVersion,
        int targets,
        int ranges) {}
