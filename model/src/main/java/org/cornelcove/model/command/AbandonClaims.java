package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Marks the undecided claims of earlier incarnations of an entry as unknown.
 *
 * @param entry the entry
 * @param beforeIncarnation the claims of incarnations below this one are marked
 */
public record AbandonClaims(EntryId entry, long beforeIncarnation) implements Command {}
