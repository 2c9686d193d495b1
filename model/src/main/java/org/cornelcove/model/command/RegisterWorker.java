package org.cornelcove.model.command;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * Records a worker and what it holds.
 *
 * @param host the worker
 * @param incarnation its start
 * @param availabilityZone where it stands
 * @param rack the rack
 * @param capacity what it holds for tasks
 */
public record RegisterWorker(HostId host, long incarnation, String availabilityZone, String rack, Resources capacity)
        implements Command {}
