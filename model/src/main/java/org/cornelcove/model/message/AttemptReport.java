package org.cornelcove.model.message;

import java.util.Optional;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;

/**
 * A worker's report on one attempt.
 *
 * @param attempt the attempt
 * @param usedCpuMillicores the measured processor use, in thousandths of a core
 * @param usedMemoryBytes the measured memory use, in bytes
 * @param slowdownPercent of a service, its run time relative to an undisturbed run, 100 for no slowdown; 0 when not measured
 * @param measuredAgeMs the age of the measurement, in milliseconds
 * @param checkpoint the newest durable checkpoint, empty without one
 * @param end present once the attempt has ended; {@code LOST} is never reported by a worker
 * @param detail why it failed, empty otherwise
 */
public record AttemptReport(
        AttemptId attempt,
        long usedCpuMillicores,
        long usedMemoryBytes,
        int slowdownPercent,
        long measuredAgeMs,
        Optional<String> checkpoint,
        Optional<AttemptEnd> end,
        String detail) {

    /** Returns a report without a measured slowdown. */
    public static AttemptReport of(
            AttemptId attempt,
            long usedCpuMillicores,
            long usedMemoryBytes,
            long measuredAgeMs,
            Optional<String> checkpoint,
            Optional<AttemptEnd> end,
            String detail) {
        return new AttemptReport(
                attempt, usedCpuMillicores, usedMemoryBytes, 0, measuredAgeMs, checkpoint, end, detail);
    }
}
