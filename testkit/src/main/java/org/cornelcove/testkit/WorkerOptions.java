package org.cornelcove.testkit;

import java.util.List;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;

/**
 * What a worker stand-in is.
 *
 * @param host its name
 * @param availabilityZone where it claims to stand
 * @param rack the rack it claims to stand in
 * @param capacity what it holds
 * @param failing whether every task fails
 * @param api the api listeners to report to
 */
public record WorkerOptions(
        HostId host, String availabilityZone, String rack, Resources capacity, boolean failing, List<String> api) {}
