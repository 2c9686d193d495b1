package org.cornelcove.control.leader;

import org.cornelcove.model.id.HostId;

/**
 * What the leader knows of a worker that it has heard.
 *
 * @param host its name
 * @param incarnation its start
 * @param leaving it asks for no new work; stays set for this start
 * @param heardMs when it was last heard of
 */
record LiveWorker(HostId host, long incarnation, boolean leaving, long heardMs) {}
