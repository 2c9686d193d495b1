package org.cornelcove.testkit;

import java.util.List;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * Options of a worker stand-in.
 *
 * @param host the id of the worker
 * @param availabilityZone the availability zone that it reports
 * @param rack the rack that it reports
 * @param capacity its total resources
 * @param failing whether every task fails
 * @param api addresses, as host:port, of the api listeners that it sends heartbeats to
 */
public record WorkerOptions(
        HostId host, String availabilityZone, String rack, Resources capacity, boolean failing, List<String> api) {}
