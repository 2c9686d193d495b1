package org.cornelcove.model.message;

import java.util.List;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * A worker's heartbeat, to any entry.
 *
 * @param host its name
 * @param incarnation a number that is new at each start of the worker; attempts of an older one no longer run
 * @param availabilityZone where it stands
 * @param rack the rack it stands in
 * @param capacity what it holds for tasks
 * @param leaving it asks for no new work and for the eviction of what runs
 * @param attempts every attempt that it runs, and each that ended until the end is acknowledged
 */
public record WorkerHeartbeat(
        HostId host,
        long incarnation,
        String availabilityZone,
        String rack,
        Resources capacity,
        boolean leaving,
        List<AttemptReport> attempts) {}
