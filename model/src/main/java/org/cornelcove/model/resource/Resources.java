package org.cornelcove.model.resource;

/**
 * An amount of processor, memory and accelerators: the capacity of a host, or the demand of a task.
 *
 * @param cpuMillicores processor time, in thousandths of a core
 * @param memoryBytes memory, in bytes
 * @param accelerators the number of accelerators
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

    /** Returns whether every component of this amount is at most the other's. */
    public boolean fitsIn(Resources available) {
        return cpuMillicores <= available.cpuMillicores
                && memoryBytes <= available.memoryBytes
                && accelerators <= available.accelerators;
    }

    /** Returns whether a component is below zero. */
    public boolean isNegative() {
        return cpuMillicores < 0 || memoryBytes < 0 || accelerators < 0;
    }
}
