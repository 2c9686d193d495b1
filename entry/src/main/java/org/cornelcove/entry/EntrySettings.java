package org.cornelcove.entry;

import org.cornelcove.model.id.EntryId;

/**
 * The settings of one entry.
 *
 * @param entry its name
 * @param incarnation a number that is new, and higher, at each start of the process
 * @param availabilityZone its availability zone
 * @param callerHost the address that it listens on for callers
 * @param callerPort the port, 0 for any free one
 * @param rpcAddress where other entries reach it, {@code ip:port}
 * @param seed the seed for the jitter of Retry-After and the choice among equal peers
 * @param heartbeatMs the time between two heartbeats to the leader
 * @param targetSilenceMs the age of its last announcement beyond which a target receives no new work
 * @param connectTimeoutMs the time within which a target must accept a connection
 * @param maxAnswerBytes the maximum size of the body of a target's answer
 * @param clockDriftMs the bound on the difference between two hosts' clocks over one deadline
 * @param drainGraceMs the time for the balancer to notice that the entry is unready
 */
public record EntrySettings(
        EntryId entry,
        long incarnation,
        String availabilityZone,
        String callerHost,
        int callerPort,
        String rpcAddress,
        long seed,
        long heartbeatMs,
        long targetSilenceMs,
        long connectTimeoutMs,
        int maxAnswerBytes,
        long clockDriftMs,
        long drainGraceMs) {
    private static final long HEARTBEAT_MS = 250;
    private static final long TARGET_SILENCE_MS = 3_000;
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final long CLOCK_DRIFT_MS = 200;
    private static final long DRAIN_GRACE_MS = 3_000;

    /** Returns settings with the default times and limits. */
    public static EntrySettings of(
            EntryId entry,
            long incarnation,
            String availabilityZone,
            String callerHost,
            int callerPort,
            String rpcAddress,
            long seed) {
        return new EntrySettings(
                entry,
                incarnation,
                availabilityZone,
                callerHost,
                callerPort,
                rpcAddress,
                seed,
                HEARTBEAT_MS,
                TARGET_SILENCE_MS,
                CONNECT_TIMEOUT_MS,
                MAX_ANSWER_BYTES,
                CLOCK_DRIFT_MS,
                DRAIN_GRACE_MS);
    }

    /** Returns these settings with another time for the balancer to notice a drain. */
    public EntrySettings withDrainGraceMs(long graceMs) {
        return new EntrySettings(
                entry,
                incarnation,
                availabilityZone,
                callerHost,
                callerPort,
                rpcAddress,
                seed,
                heartbeatMs,
                targetSilenceMs,
                connectTimeoutMs,
                maxAnswerBytes,
                clockDriftMs,
                graceMs);
    }
}
