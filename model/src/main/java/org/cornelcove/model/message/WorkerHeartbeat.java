package org.cornelcove.model.message;

import java.util.List;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * A worker's heartbeat, to any entry.
 *
 * @param host its name
 * @param incarnation a number that is new at each start of the worker; attempts of an older one no longer run
 * @param availabilityZone the availability zone of its host
 * @param rack the rack of its host
 * @param capacity the resources available to tasks
 * @param leaving whether it asks for no new work and for the eviction of its attempts
 * @param attempts every running attempt, and each ended one until its end is acknowledged
 */
public record WorkerHeartbeat(
        HostId host,
        long incarnation,
        String availabilityZone,
        String rack,
        Resources capacity,
        boolean leaving,
        List<AttemptReport> attempts) {}
