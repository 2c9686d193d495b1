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
 * @param selfId this member's id, which no other data folder has ever used
 * @param selfAddress the address at which its peers reach it, {@code ip:port}
 * @param initialMembers the initial members of a new group, the same list on each of them; empty for a member that
 *     joins an existing group by {@link Replica#addMember}. Read only while the data folder holds no log
 * @param tickMs the interval in ms at which timeouts are checked
 * @param heartbeatMs the interval in ms at which a leader sends heartbeats
 * @param electionMinMs the minimum election timeout in ms
 * @param electionMaxMs the maximum election timeout in ms
 * @param clockDriftPercent the maximum relative drift of two monotonic clocks
 * @param snapshotEveryEntries the number of commands applied between two snapshots
 * @param snapshotEveryBytes the maximum size of the commands between two snapshots
 * @param segmentBytes the size at which a new segment of the log is started
 * @param maxBatch the maximum number of inputs handled together and of writes that share an fsync; 1 disables group
 *     commit
 * @param seed the seed of the randomized election timeouts; may be the same on all members
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
     * Returns the default settings.
     *
     * @param selfId this member's id
     * @param selfAddress the address at which its peers reach it, {@code ip:port}
     * @param initialMembers the initial members of a new group; empty to join an existing one
     * @return the settings, seeded with the member id
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
     * @param entries the number of commands applied between two snapshots
     * @return a changed copy
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
     * Returns these settings with another maximum batch size.
     *
     * @param count the maximum number of inputs handled together and of writes that share an fsync
     * @return a changed copy
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

    /** Returns the membership of a new group, in which no member is bound to a disk yet. */
    Membership initialMembership() {
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
