package org.cornelcove.model.message;

import java.util.Optional;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.AttemptEnd;

/**
 * What a worker tells of one attempt.
 *
 * @param attempt the attempt
 * @param usedCpuMillicores measured use
 * @param usedMemoryBytes measured use
 * @param slowdownPercent of a service, its run time over that of an undisturbed one, 100 for none; 0 when not measured
 * @param measuredAgeMs how old the measurement is
 * @param checkpoint the newest durable checkpoint
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
