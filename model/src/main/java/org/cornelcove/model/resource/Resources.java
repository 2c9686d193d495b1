package org.cornelcove.model.resource;

/**
 * An amount of processor, memory and accelerators: what a host holds, or what a task takes.
 *
 * @param cpuMillicores processor time, in thousandths of a core
 * @param memoryBytes memory, in bytes
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillicores, long memoryBytes, int accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the given amount. */
    public static Resources of(long cpuMillicores, long memoryBytes, int accelerators) {
        return new Resources(cpuMillicores, memoryBytes, accelerators);
    }

    /** Returns the sum of this and the other amount. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillicores + other.cpuMillicores,
                memoryBytes + other.memoryBytes,
                accelerators + other.accelerators);
    }

    /** Returns this amount less the other; components may become negative. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillicores - other.cpuMillicores,
                memoryBytes - other.memoryBytes,
                accelerators - other.accelerators);
    }

    /** Tells whether every component of this amount is at most the other's. */
    public boolean fitsIn(Resources room) {
        return cpuMillicores <= room.cpuMillicores
                && memoryBytes <= room.memoryBytes
                && accelerators <= room.accelerators;
    }

    /** Tells whether a component is below zero. */
    public boolean isNegative() {
        return cpuMillicores < 0 || memoryBytes < 0 || accelerators < 0;
    }
}
