package org.cornelcove.model.command;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;

/**
 * Gives a range of exclusive keys to an entry, or to none, under the next epoch.
 *
 * @param range the range
 * @param owner the new owner
 */
public record AssignRange(int range, Optional<EntryId> owner) implements Command {}
