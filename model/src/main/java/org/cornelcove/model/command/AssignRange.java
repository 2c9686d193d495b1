package org.cornelcove.model.command;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;

/**
 * Assigns a range of exclusive keys to an entry, or to none, under the next epoch.
 *
 * @param range the number of the range
 * @param owner the new owner, empty for none
 */
public record AssignRange(int range, Optional<EntryId> owner) implements Command {}
