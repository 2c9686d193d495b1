package org.cornelcove.control.leader;

import java.util.List;

import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.rule.BatchRule;

/** Chooses what gives way on one host. A pure function: no clock, no state. */
@FunctionalInterface
public interface EvictionPolicy {
    /**
     * Chooses the attempts whose end makes room for a job.
     *
     * @param spec the job that needs room
     * @param room the host
     * @param victims the batch attempts on it that may be evicted
     * @param rule how batch work shares hosts
     * @return the attempts to evict, empty when even all of them don't make room
     */
    List<Victim> choose(JobSpec spec, HostRoom room, List<Victim> victims, BatchRule rule);
}
