package org.cornelcove.control.leader;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;

/**
 * An item, a target or a range, that is owned by at most one entry at a time.
 *
 * @param key a target's name or a range's number
 * @param group the items that are balanced together, such as the targets of one service
 * @param availabilityZone the zone it is in, empty for an item without one
 * @param owner the entry that owns it, empty if none does
 * @param <K> the key's type
 */
record Assignable<K>(K key, String group, String availabilityZone, Optional<EntryId> owner) {}
