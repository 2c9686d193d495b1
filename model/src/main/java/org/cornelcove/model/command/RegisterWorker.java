package org.cornelcove.model.command;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * Records a worker and its capacity.
 *
 * @param host the worker
 * @param incarnation a number that is new at each start of the worker
 * @param availabilityZone the availability zone of its host
 * @param rack the rack of its host
 * @param capacity the resources available to tasks
 */
public record RegisterWorker(HostId host, long incarnation, String availabilityZone, String rack, Resources capacity)
        implements Command {}
