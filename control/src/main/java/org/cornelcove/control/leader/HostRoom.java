package org.cornelcove.control.leader;

import org.cornelcove.control.state.Holding;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * A worker and what is held on it.
 *
 * @param host its name
 * @param availabilityZone where it stands
 * @param rack the rack
 * @param capacity what it holds for tasks
 * @param held what is held on it
 */
public record HostRoom(HostId host, String availabilityZone, String rack, Resources capacity, Holding held) {
    static HostRoom of(WorkerRecord worker, Tables tables) {
        return new HostRoom(
                worker.host(),
                worker.availabilityZone(),
                worker.rack(),
                worker.capacity(),
                tables.jobs().heldOn(worker.host()));
    }
}
