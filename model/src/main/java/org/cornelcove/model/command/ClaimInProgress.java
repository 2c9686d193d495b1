package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Another claim of the key is undecided, so the request may be running; retry later.
 *
 * @param holder the entry that holds the claim
 */
public record ClaimInProgress(EntryId holder) implements Outcome {}
