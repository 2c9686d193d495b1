package org.cornelcove.control.state;

import java.util.List;

/**
 * The whole durable state as one message. Lists are sorted, so that equal states have equal encodings.
 *
 * @param format the version of this layout
 * @param appliedIndex the log index of the last applied command
 * @param jobs all jobs
 * @param workers all workers
 * @param entries all entries
 * @param claims all claims
 * @param targets the ownership of targets
 * @param ranges the ownership of ranges
 * @param epochFloor the epoch from which unknown targets start
 * @param configuration the newest configuration
 * @param changes the accepted proposals that are kept
 */
public record Snapshot(
        int format,
        long appliedIndex,
        List<Job> jobs,
        List<WorkerRecord> workers,
        List<EntryRecord> entries,
        List<Claim> claims,
        List<TargetOwnership> targets,
        List<Ownership> ranges,
        long epochFloor,
        ConfigurationRecord configuration,
        List<AcceptedChange> changes) {
    /** The layout written by this version. */
    static final int FORMAT = 1;
}
