package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.work.job.StepSpec;

/**
 * Which tasks found no worker in one pass. A task that asks for at least as much, and is no less particular, finds none
 * either: during a pass room only shrinks. So a backlog of hundreds of like steps costs one look at the workers and not
 * hundreds.
 */
final class NoRoom {
    private record Kind(String pool, boolean fill, boolean patient, String image, String label, int accelerators) {}

    private record Size(int cpuMillis, int memoryMb) {}

    private final Map<Kind, List<Size>> refused = new HashMap<>();

    /** Notes a task that found no worker. One that is limited to some of a step on a worker says nothing of others. */
    void add(String pool, StepSpec step, boolean patient) {
        if (step.maxPerWorker() == 0 && !step.sameRack()) {
            refused.computeIfAbsent(kindOf(pool, step, patient), any -> new ArrayList<>())
                    .add(new Size(step.cpuMillis(), step.memoryMb()));
        }
    }

    boolean covers(String pool, StepSpec step, boolean patient) {
        for (Size size : refused.getOrDefault(kindOf(pool, step, patient), List.of())) {
            if (size.cpuMillis() <= step.cpuMillis() && size.memoryMb() <= step.memoryMb()) {
                return true;
            }
        }
        return false;
    }

    private static Kind kindOf(String pool, StepSpec step, boolean patient) {
        // Only fill work looks at images when it asks whether a worker is good enough.
        String image = step.fill() ? step.image() : "";
        return new Kind(pool, step.fill(), patient, image, step.requiredLabel(), step.accelerators());
    }
}
