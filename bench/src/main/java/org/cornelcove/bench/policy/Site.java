package org.cornelcove.bench.policy;

import java.util.List;

/**
 * The size of one user's cluster.
 *
 * @param name its name
 * @param zones its availability zones
 * @param executors executors of its service
 * @param workers its worker hosts
 * @param hostsPerRack hosts in a rack
 * @param entries its entry hosts
 */
record Site(String name, List<String> zones, int executors, int workers, int hostsPerRack, int entries) {
    static final int SLOTS = 8;

    static final List<Site> ALL = List.of(
            new Site("Chhatri Setu", List.of("ahmedabad", "surat", "vadodara"), 45, 45, 11, 7),
            new Site("Sofia", List.of("lyulin", "mladost", "nadezhda"), 35, 35, 8, 7));

    int slots() {
        return executors * SLOTS;
    }

    String zoneOf(int index) {
        return zones.get(index % zones.size());
    }
}
