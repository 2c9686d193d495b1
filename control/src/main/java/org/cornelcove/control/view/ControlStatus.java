package org.cornelcove.control.view;

import java.util.List;

/**
 * The cluster as the leader sees it.
 *
 * @param appliedIndex the log index up to which commands are applied
 * @param configurationVersion the newest accepted version
 * @param entries all registered entries
 * @param workers all registered workers
 * @param targets all targets that have or had an owner
 * @param jobs the number of jobs by state
 * @param claims the number of claims in the ledger
 */
public record ControlStatus(
        long appliedIndex,
        long configurationVersion,
        List<EntryStatus> entries,
        List<WorkerStatus> workers,
        List<TargetStatus> targets,
        JobCounts jobs,
        int claims) {}
