package org.cornelcove.model.view;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.job.JobState;

/**
 * The state of the cluster as known to the answering daemon.
 *
 * @param leader the member that leads, empty while none is known
 * @param term the current term
 * @param commitIndex the highest index known as committed
 * @param members the control members
 * @param entries the entries, live or not
 * @param targets the targets that sent announcements
 * @param workers the workers that announced themselves
 * @param jobs the number of jobs by state; a state without jobs may be missing
 * @param configurationVersion the newest accepted configuration, 0 before the first
 */
public record ClusterStatus(
        Optional<Long> leader,
        long term,
        long commitIndex,
        List<MemberView> members,
        List<EntryView> entries,
        List<TargetView> targets,
        List<WorkerView> workers,
        Map<JobState, Integer> jobs,
        long configurationVersion) {}
