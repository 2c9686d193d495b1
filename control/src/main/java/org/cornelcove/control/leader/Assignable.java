package org.cornelcove.control.leader;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;

/**
 * Something that belongs to one entry at a time.
 *
 * @param key a target's name or a range's number
 * @param group what is balanced for itself, such as the targets of one service
 * @param availabilityZone where it stands, empty when that doesn't matter
 * @param owner the entry that has it, empty when none has or its owner must give it up
 * @param <K> the key's type
 */
record Assignable<K>(K key, String group, String availabilityZone, Optional<EntryId> owner) {}
