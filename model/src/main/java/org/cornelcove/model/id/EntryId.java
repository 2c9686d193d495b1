package org.cornelcove.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one entry process.
 *
 * @param value the name, 1 to 128 characters out of letters, digits, dot, dash and underscore
 */
public record EntryId(@JsonValue String value) implements Comparable<EntryId> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException when the name is malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public EntryId {
        Names.check(value);
    }

    /** Returns the identifier with the given name. */
    public static EntryId of(String value) {
        return new EntryId(value);
    }

    @Override
    public int compareTo(EntryId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
