package org.cornelcove.model.message;

import java.util.List;
import java.util.SortedMap;

import org.cornelcove.model.id.EntryId;

/**
 * Another live entry.
 *
 * @param entry its name
 * @param availabilityZone where it runs
 * @param rpcAddress where it takes forwarded requests
 * @param targetsByService how many targets it owns
 * @param ranges the key ranges that it owns
 */
public record PeerEntry(
        EntryId entry,
        String availabilityZone,
        String rpcAddress,
        SortedMap<String, Integer> targetsByService,
        List<Integer> ranges) {}
