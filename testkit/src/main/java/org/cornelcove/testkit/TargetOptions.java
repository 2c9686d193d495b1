package org.cornelcove.testkit;

import java.util.List;

/**
 * Options of a target stand-in.
 *
 * @param name the id of the target
 * @param service the service it belongs to
 * @param availabilityZone the availability zone that it announces
 * @param slots the maximum number of concurrent requests
 * @param api addresses, as host:port, of the api listeners that it announces itself to
 */
public record TargetOptions(String name, String service, String availabilityZone, int slots, List<String> api) {}
