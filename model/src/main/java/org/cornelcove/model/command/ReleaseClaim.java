package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Gives a claim back whose request was proved not run.
 *
 * @param key the key
 * @param entry the claim's holder
 * @param incarnation the start of that entry
 * @param claimIndex the index that {@link ClaimGranted} gave; a delayed release of an earlier grant changes nothing
 */
public record ReleaseClaim(String key, EntryId entry, long incarnation, long claimIndex) implements Command {}
