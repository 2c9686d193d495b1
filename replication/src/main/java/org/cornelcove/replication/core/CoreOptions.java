package org.cornelcove.replication.core;

/**
 * The settings of the protocol.
 *
 * @param selfId this member
 * @param selfAddress where its peers reach it
 * @param heartbeatMs how often a leader shows itself
 * @param electionMinMs how long at least a member waits for a leader; it votes for nobody sooner
 * @param electionMaxMs how long at most a member waits; a leader without its quorum for so long steps down
 * @param leaseMs how long a quorum's answer lets a leader read without asking; below {@code electionMinMs} by the bound
 *     on the drift between two clocks
 * @param snapshotEveryEntries how many entries are applied between two snapshots
 * @param snapshotEveryBytes how many bytes of entries at most lie between two snapshots
 * @param retainedEntries how many entries before a snapshot stay for members that lag
 * @param chunkBytes the size of a snapshot's chunks
 * @param maxAppendBytes how many bytes of entries one message holds at most, but always one entry
 * @param seed for the election timeouts
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
