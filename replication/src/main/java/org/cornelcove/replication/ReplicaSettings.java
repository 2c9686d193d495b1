package org.cornelcove.replication;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

import org.cornelcove.replication.core.CoreOptions;
import org.cornelcove.replication.core.MemberRecord;
import org.cornelcove.replication.core.Membership;

/**
 * The settings of a member.
 *
 * @param selfId this member's id, never used by another data folder
 * @param selfAddress where its peers reach it, {@code ip:port}
 * @param initialMembers the first members of a new group, the same list on each of them; empty for a member that joins
 *     an existing group by {@link Replica#addMember}. Read only while the data folder holds no log
 * @param tickMs how often timeouts are looked at
 * @param heartbeatMs how often a leader shows itself
 * @param electionMinMs how long at least a member waits for a leader
 * @param electionMaxMs how long at most a member waits for a leader
 * @param clockDriftPercent how far two monotonic clocks may run apart
 * @param snapshotEveryEntries how many commands are applied between two snapshots
 * @param snapshotEveryBytes how many bytes of commands at most lie between two snapshots
 * @param segmentBytes the size at which a new file of the log is begun
 * @param maxBatch how many inputs are handled and how many writes share an fsync at most; 1 turns group commit off
 * @param seed for the election timeouts; may be the same on all members
 */
public record ReplicaSettings(
        long selfId,
        String selfAddress,
        List<Member> initialMembers,
        long tickMs,
        long heartbeatMs,
        long electionMinMs,
        long electionMaxMs,
        long clockDriftPercent,
        long snapshotEveryEntries,
        long snapshotEveryBytes,
        long segmentBytes,
        int maxBatch,
        long seed) {
    private static final long TICK_MS = 20;
    private static final long HEARTBEAT_MS = 100;
    private static final long ELECTION_MIN_MS = 400;
    private static final long ELECTION_MAX_MS = 800;
    private static final long CLOCK_DRIFT_PERCENT = 10;
    private static final long SNAPSHOT_EVERY_ENTRIES = 20_000;
    private static final long SNAPSHOT_EVERY_BYTES = 32L << 20;
    private static final long SEGMENT_BYTES = 8L << 20;
    private static final int MAX_APPEND_BYTES = 1 << 20;
    private static final int MAX_BATCH = 4096;
    private static final int CHUNK_BYTES = 256 << 10;

    /**
     * Returns the usual settings.
     *
     * @param selfId this member's id
     * @param selfAddress where its peers reach it
     * @param initialMembers the first members of a new group, or none to join an existing one
     * @return the settings
     */
    public static ReplicaSettings of(long selfId, String selfAddress, List<Member> initialMembers) {
        return new ReplicaSettings(
                selfId,
                selfAddress,
                initialMembers,
                TICK_MS,
                HEARTBEAT_MS,
                ELECTION_MIN_MS,
                ELECTION_MAX_MS,
                CLOCK_DRIFT_PERCENT,
                SNAPSHOT_EVERY_ENTRIES,
                SNAPSHOT_EVERY_BYTES,
                SEGMENT_BYTES,
                MAX_BATCH,
                selfId);
    }

    /**
     * Returns these settings with another interval between snapshots.
     *
     * @param entries how many commands are applied between two snapshots
     * @return the settings
     */
    public ReplicaSettings withSnapshotEveryEntries(long entries) {
        return new ReplicaSettings(
                selfId,
                selfAddress,
                initialMembers,
                tickMs,
                heartbeatMs,
                electionMinMs,
                electionMaxMs,
                clockDriftPercent,
                entries,
                snapshotEveryBytes,
                segmentBytes,
                maxBatch,
                seed);
    }

    /**
     * Returns these settings with another bound on batches.
     *
     * @param count how many inputs are handled and how many writes share an fsync at most
     * @return the settings
     */
    public ReplicaSettings withMaxBatch(int count) {
        return new ReplicaSettings(
                selfId,
                selfAddress,
                initialMembers,
                tickMs,
                heartbeatMs,
                electionMinMs,
                electionMaxMs,
                clockDriftPercent,
                snapshotEveryEntries,
                snapshotEveryBytes,
                segmentBytes,
                count,
                seed);
    }

    /** The members of a group that starts for the first time, none of them bound to a disk yet. */
    Membership firstMembership() {
        List<MemberRecord> members = initialMembers.stream()
                .sorted(Comparator.comparingLong(Member::id))
                .map(m -> new MemberRecord(m.id(), m.address(), m.voting(), MemberRecord.UNBOUND))
                .toList();
        return new Membership(members, new TreeSet<>());
    }

    CoreOptions coreOptions() {
        return new CoreOptions(
                selfId,
                selfAddress,
                heartbeatMs,
                electionMinMs,
                electionMaxMs,
                electionMinMs * (100 - clockDriftPercent) / 100,
                snapshotEveryEntries,
                snapshotEveryBytes,
                snapshotEveryEntries / 2,
                CHUNK_BYTES,
                MAX_APPEND_BYTES,
                seed * 31 + selfId);
    }
}
