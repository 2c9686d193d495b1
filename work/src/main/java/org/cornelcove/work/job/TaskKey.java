package org.cornelcove.work.job;

import java.util.Optional;

/**
 * Identifies a task.
 *
 * @param jobId the id of the job
 * @param occurrence counted from 0
 * @param step counted from 0
 * @param index counted from 0 within the step
 */
public record TaskKey(String jobId, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /**
     * Formats the key; {@link #parse} reads it.
     *
     * @return {@code job.occurrence.step.index}
     */
    public String text() {
        return jobId + '.' + occurrence + '.' + step + '.' + index;
    }

    /**
     * Parses the format of {@link #text}.
     *
     * @param text the text
     * @return the key, empty when the text is malformed
     */
    public static Optional<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskKey(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
