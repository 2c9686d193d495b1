package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Releases a claim whose request certainly did not run, including one whose grant the entry never received: a claim
 * command that is applied after its release is refused.
 *
 * @param key tenant, service and idempotency key
 * @param entry the claim's holder
 * @param incarnation the incarnation of that entry
 * @param claimNumber the number of the claim; a delayed release of an earlier claim changes nothing
 */
public record ReleaseClaim(String key, EntryId entry, long incarnation, long claimNumber) implements Command {}
