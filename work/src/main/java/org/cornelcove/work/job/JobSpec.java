package org.cornelcove.work.job;

import java.util.List;

/**
 * The specification of a job, as a caller submits it.
 *
 * @param id chosen by the caller; submitting the same id again has no effect
 * @param host the host name of the queue that accepted it
 * @param pathPrefix the path prefix of the queue that accepted it
 * @param taskText passed to each task unchanged
 * @param steps the steps, in the caller's order
 * @param schedule when the steps run
 */
public record JobSpec(
        String id, String host, String pathPrefix, String taskText, List<StepSpec> steps, Schedule schedule) {
    /**
     * Returns the estimated time of the longest chain of dependent steps that begins with a step or a later one.
     *
     * @param first the first step that counts, from 0
     * @return the time in milliseconds if no task waits for room
     */
    public long chainMs(int first) {
        long[] endMs = new long[steps.size()];
        long longest = 0;
        for (int i = first; i < endMs.length; i++) {
            long startMs = 0;
            for (int after : steps.get(i).after()) {
                startMs = Math.max(startMs, endMs[after]);
            }
            endMs[i] = startMs + steps.get(i).estimateMs();
            longest = Math.max(longest, endMs[i]);
        }
        return longest;
    }

    /**
     * Returns the estimated processor time of all tasks of one occurrence.
     *
     * @return the sum in microseconds of one core
     */
    public long workCoreUs() {
        long work = 0;
        for (StepSpec step : steps) {
            // Thousandths of a core times milliseconds.
            work += (long) step.count() * step.cpuMillis() * step.estimateMs();
        }
        return work;
    }
}
