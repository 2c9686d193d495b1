package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Records a start of an entry and fences its earlier ones.
 *
 * @param entry the entry
 * @param incarnation its start
 */
public record RegisterEntry(EntryId entry, long incarnation) implements Command {}
