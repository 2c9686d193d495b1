package org.cornelcove.model.message;

import java.util.List;
import java.util.SortedMap;

import org.cornelcove.model.id.EntryId;

/**
 * Another live entry, as the leader describes it in a lease.
 *
 * @param entry its name
 * @param availabilityZone the availability zone it runs in
 * @param rpcAddress the address for forwarded requests, {@code ip:port}
 * @param targetsByService the number of targets it owns, by service
 * @param ranges the key ranges that it owns
 */
public record PeerEntry(
        EntryId entry,
        String availabilityZone,
        String rpcAddress,
        SortedMap<String, Integer> targetsByService,
        List<Integer> ranges) {}
