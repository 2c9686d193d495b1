package org.cornelcove.control.leader;

import org.cornelcove.model.id.HostId;

/**
 * The soft state of a worker that has sent a heartbeat to this leader.
 *
 * @param host its name
 * @param incarnation identifies its process start
 * @param leaving whether it asked for no new work; stays set for this incarnation
 * @param heardMs when its last heartbeat arrived, on the leader's clock
 */
record LiveWorker(HostId host, long incarnation, boolean leaving, long heardMs) {}
