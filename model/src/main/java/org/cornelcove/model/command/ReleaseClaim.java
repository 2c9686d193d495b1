package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Gives a claim back whose request was proved not run, also one whose grant was not heard of: a claim that arrives
 * after its release is refused.
 *
 * @param key the key
 * @param entry the claim's holder
 * @param incarnation the start of that entry
 * @param claimNumber the number of the claim; a delayed release of an earlier claim changes nothing
 */
public record ReleaseClaim(String key, EntryId entry, long incarnation, long claimNumber) implements Command {}
