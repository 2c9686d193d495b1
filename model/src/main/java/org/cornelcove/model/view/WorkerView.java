package org.cornelcove.model.view;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * One worker.
 *
 * @param name its name
 * @param availabilityZone the availability zone of its host
 * @param rack the rack of its host
 * @param capacity the resources available to tasks
 * @param free the capacity not held by its running attempts
 * @param state whether it receives attempts
 */
public record WorkerView(
        HostId name, String availabilityZone, String rack, Resources capacity, Resources free, WorkerState state) {}
