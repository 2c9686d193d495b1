package org.cornelcove.bench.capacity;

/**
 * The size of a cluster.
 *
 * @param workers hosts that run tasks
 * @param targets running latency-critical tasks, each a target
 * @param batch running batch tasks
 * @param entries entries
 */
record FleetSize(int workers, int targets, int batch, int entries) {
    /** The size that the product is designed for, in quarters. */
    static FleetSize quarters(int quarters) {
        return new FleetSize(400 * quarters, 1_775 * quarters, 3_500 * quarters, 9);
    }

    int tasks() {
        return targets + batch;
    }
}
