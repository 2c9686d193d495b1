package org.cornelcove.control.leader;

import org.cornelcove.control.state.Holding;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * A worker as the placement sees it.
 *
 * @param host its name
 * @param availabilityZone where it stands
 * @param rack the rack
 * @param capacity what it holds for tasks
 * @param held what is held on it, placements under way included
 * @param mostAttempts how many attempts it may run at once
 */
public record HostRoom(
        HostId host, String availabilityZone, String rack, Resources capacity, Holding held, int mostAttempts) {
    static HostRoom of(WorkerRecord worker, Tables tables) {
        return of(worker, WorkerQuarantine.UNLIMITED, tables);
    }

    static HostRoom of(WorkerRecord worker, int mostAttempts, Tables tables) {
        return new HostRoom(
                worker.host(),
                worker.availabilityZone(),
                worker.rack(),
                worker.capacity(),
                tables.jobs().heldOn(worker.host()),
                mostAttempts);
    }

    HostRoom plus(Resources amount, boolean isBatch) {
        return new HostRoom(host, availabilityZone, rack, capacity, held.plus(amount, isBatch), mostAttempts);
    }

    HostRoom minus(Resources amount, boolean isBatch) {
        return new HostRoom(host, availabilityZone, rack, capacity, held.minus(amount, isBatch), mostAttempts);
    }

    boolean takesOneMore() {
        return held.attempts() < mostAttempts;
    }

    /** Returns what nothing holds. */
    public Resources free() {
        return capacity.minus(held.total());
    }
}
