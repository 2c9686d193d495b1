package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Records a new incarnation of an entry and fences the earlier ones.
 *
 * @param entry the entry
 * @param incarnation a number that is new at each start of the process
 */
public record RegisterEntry(EntryId entry, long incarnation) implements Command {}
