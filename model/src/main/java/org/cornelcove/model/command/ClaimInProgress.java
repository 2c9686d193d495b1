package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * The request is being run; ask again later.
 *
 * @param holder the entry that runs it
 */
public record ClaimInProgress(EntryId holder) implements Outcome {}
