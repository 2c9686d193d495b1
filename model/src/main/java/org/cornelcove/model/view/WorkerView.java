package org.cornelcove.model.view;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * One worker.
 *
 * @param name its name
 * @param availabilityZone where it stands
 * @param rack the rack it stands in
 * @param capacity what it holds for tasks
 * @param free what its running attempts leave over
 * @param state whether it is given work
 */
public record WorkerView(
        HostId name, String availabilityZone, String rack, Resources capacity, Resources free, WorkerState state) {}
