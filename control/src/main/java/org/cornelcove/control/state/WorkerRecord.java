package org.cornelcove.control.state;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * One registered worker.
 *
 * @param host its name
 * @param incarnation its newest start
 * @param availabilityZone where it stands
 * @param rack the rack
 * @param capacity what it holds for tasks
 */
public record WorkerRecord(HostId host, long incarnation, String availabilityZone, String rack, Resources capacity) {}
