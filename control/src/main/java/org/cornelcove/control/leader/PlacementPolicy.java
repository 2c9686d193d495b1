package org.cornelcove.control.leader;

import java.util.List;
import java.util.Optional;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobSpec;

/** Chooses a host for a job. A pure function: no clock, no state. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Chooses one of the hosts on which the job fits.
     *
     * @param spec the job
     * @param candidates the hosts on which it fits, by name
     * @param replicas the hosts on which attempts of the same task run, one element for each attempt
     * @return the choice, empty to leave the job waiting
     */
    Optional<HostId> choose(JobSpec spec, List<HostRoom> candidates, List<HostRoom> replicas);
}
