package org.cornelcove.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one host of the cluster: a worker that runs tasks.
 *
 * @param value the name, 1 to 128 characters out of letters, digits, dot, dash and underscore
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException when the name is malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HostId {
        Names.check(value);
    }

    /** Returns the identifier with the given name. */
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
