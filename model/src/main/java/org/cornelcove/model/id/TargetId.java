package org.cornelcove.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one target: an executor process of a service.
 *
 * @param value the name, 1 to 128 characters out of letters, digits, dot, dash and underscore
 */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException when the name is malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TargetId {
        Names.check(value);
    }

    /** Returns the identifier with the given name. */
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
