package org.cornelcove.testkit;

import java.util.List;

/**
 * What a target stand-in is.
 *
 * @param name its name
 * @param service the service it belongs to
 * @param availabilityZone where it claims to run
 * @param slots requests that it runs at once
 * @param api the api listeners to announce itself to
 */
public record TargetOptions(String name, String service, String availabilityZone, int slots, List<String> api) {}
