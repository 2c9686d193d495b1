package org.cornelcove.control.view;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * One worker as the leader sees it.
 *
 * @param host its name
 * @param availabilityZone where it stands
 * @param rack the rack
 * @param live whether it was heard of lately
 * @param leaving whether it asks for no new work
 * @param quarantined whether it gets no new work because of its failures
 * @param capacity what it holds for tasks
 * @param held what attempts hold on it
 * @param attempts how many attempts hold something on it
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
