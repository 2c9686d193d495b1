package org.cornelcove.control.leader;

import java.util.List;
import java.util.Map;

import org.cornelcove.control.state.Holding;
import org.cornelcove.control.state.Job;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.rule.RuleSet;

/**
 * A copy of all that one round of placement looks at.
 *
 * @param rules the rules in force
 * @param rooms the workers that take work, by name
 * @param urgent urgent jobs that wait, first submitted first
 * @param waiting the other jobs that wait, by team
 * @param heldByTeam what each of these teams holds
 * @param replicas for each waiting service task the hosts of its attempts
 * @param kept hosts on which room is being made, and the job that it is for
 */
record PlacementInput(
        RuleSet rules,
        Map<HostId, HostRoom> rooms,
        List<Job> urgent,
        Map<String, List<Job>> waiting,
        Map<String, Holding> heldByTeam,
        Map<String, List<HostRoom>> replicas,
        Map<HostId, JobId> kept) {}
