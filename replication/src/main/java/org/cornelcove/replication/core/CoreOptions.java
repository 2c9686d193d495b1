package org.cornelcove.replication.core;

/**
 * The settings of the protocol.
 *
 * @param selfId this member's id
 * @param selfAddress this member's RPC address
 * @param heartbeatMs the interval between a leader's heartbeats
 * @param electionMinMs the minimum election timeout; a member grants no vote sooner after contact with a leader
 * @param electionMaxMs the maximum election timeout; a leader without its quorum for longer steps down
 * @param leaseMs how long a leader may serve reads after sending a request that a quorum answered; below
 *     {@code electionMinMs} by the bound on the drift between two clocks
 * @param snapshotEveryEntries the number of applied entries after which a snapshot is due
 * @param snapshotEveryBytes the bytes of applied entries after which a snapshot is due
 * @param retainedEntries the number of entries before a snapshot kept for lagging members
 * @param chunkBytes the size of a snapshot chunk
 * @param maxAppendBytes the maximum payload bytes in one message; a larger entry is sent alone
 * @param seed the random seed of the election timeouts
 */
public record CoreOptions(
        long selfId,
        String selfAddress,
        long heartbeatMs,
        long electionMinMs,
        long electionMaxMs,
        long leaseMs,
        long snapshotEveryEntries,
        long snapshotEveryBytes,
        long retainedEntries,
        int chunkBytes,
        int maxAppendBytes,
        long seed) {}
