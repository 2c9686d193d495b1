package org.cornelcove.control.state;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.cornelcove.model.command.Refused;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;

/** The newest incarnation of each entry. Registering a newer incarnation fences all earlier ones. */
public final class EntryRegister {
    private final TreeMap<EntryId, EntryRecord> entries = new TreeMap<>();

    void register(EntryId entry, long incarnation) {
        entries.put(entry, new EntryRecord(entry, incarnation));
    }

    Optional<Refused> checkIncarnation(EntryId entry, long incarnation) {
        EntryRecord registered = entries.get(entry);
        if (registered == null) {
            return Optional.of(new Refused(Failure.of(ErrorKind.ENTRY_UNKNOWN, entry)));
        }
        return registered.incarnation() == incarnation
                ? Optional.empty()
                : Optional.of(new Refused(Failure.of(ErrorKind.ENTRY_FENCED, entry)));
    }

    void restore(Collection<EntryRecord> records) {
        entries.clear();
        records.forEach(record -> entries.put(record.entry(), record));
    }

    /**
     * Returns all entries, by name.
     *
     * @return an unmodifiable view
     */
    public Collection<EntryRecord> all() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /**
     * Returns the newest incarnation of an entry.
     *
     * @param entry the entry
     * @return the incarnation, empty for an unknown entry
     */
    public OptionalLong incarnation(EntryId entry) {
        EntryRecord registered = entries.get(entry);
        return registered == null ? OptionalLong.empty() : OptionalLong.of(registered.incarnation());
    }
}
