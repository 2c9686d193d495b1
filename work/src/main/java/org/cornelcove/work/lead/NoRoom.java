package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.work.job.StepSpec;

/**
 * The tasks that found no worker in one placement pass. A task with the same constraints that needs at least as much finds
 * none either, since room only shrinks during a pass. So a backlog of hundreds of similar steps needs one search of the
 * workers instead of hundreds.
 */
final class NoRoom {
    private record Kind(
            String pool,
            boolean fill,
            boolean lasting,
            boolean patient,
            String image,
            String label,
            int accelerators) {}

    private record Size(int cpuMillis, int memoryMb) {}

    private final Map<Kind, List<Size>> refused = new HashMap<>();

    /** Adds a task that found no worker, unless limits within its own step may be the reason. */
    void add(String pool, StepSpec step, boolean canWait) {
        if (step.maxPerWorker() == 0 && !step.sameRack()) {
            refused.computeIfAbsent(kindOf(pool, step, canWait), any -> new ArrayList<>())
                    .add(new Size(step.cpuMillis(), step.memoryMb()));
        }
    }

    boolean covers(String pool, StepSpec step, boolean canWait) {
        for (Size size : refused.getOrDefault(kindOf(pool, step, canWait), List.of())) {
            if (size.cpuMillis() <= step.cpuMillis() && size.memoryMb() <= step.memoryMb()) {
                return true;
            }
        }
        return false;
    }

    private static Kind kindOf(String pool, StepSpec step, boolean canWait) {
        // Only for fill work the choice of workers depends on the image.
        String image = step.fill() ? step.image() : "";
        return new Kind(pool, step.fill(), step.lasting(), canWait, image, step.requiredLabel(), step.accelerators());
    }
}
