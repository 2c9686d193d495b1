package org.cornelcove.control.view;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * One worker as the leader sees it.
 *
 * @param host its name
 * @param availabilityZone the availability zone it is in
 * @param rack the rack
 * @param live whether it sent a heartbeat recently
 * @param leaving whether it asks for no new work
 * @param quarantined whether it gets no new work because of its failures
 * @param capacity the total resources it offers to tasks
 * @param held the resources that attempts hold on it
 * @param attempts the number of attempts that hold resources on it
 */
public record WorkerStatus(
        HostId host,
        String availabilityZone,
        String rack,
        boolean live,
        boolean leaving,
        boolean quarantined,
        Resources capacity,
        Resources held,
        int attempts) {}
