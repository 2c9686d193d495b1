package org.cornelcove.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one job. The submitter chooses it, so that a resent submission is recognised.
 *
 * @param value the name, 1 to 128 characters out of letters, digits, dot, dash and underscore
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException when the name is malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public JobId {
        Names.check(value);
    }

    /** Returns the identifier with the given name. */
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
