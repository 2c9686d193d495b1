package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Marks the open claims of an earlier start of an entry as unknown.
 *
 * @param entry the entry
 * @param beforeIncarnation claims of starts below this one
 */
public record AbandonClaims(EntryId entry, long beforeIncarnation) implements Command {}
