package org.cornelcove.control.state;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * A registered worker.
 *
 * @param host its name
 * @param incarnation its newest incarnation
 * @param availabilityZone the availability zone it is in
 * @param rack the rack
 * @param capacity the total resources it offers to tasks
 */
public record WorkerRecord(HostId host, long incarnation, String availabilityZone, String rack, Resources capacity) {}
