package org.cornelcove.model.command;

import org.cornelcove.model.id.EntryId;

/**
 * Claims an idempotency key before the first byte of the request goes to a target.
 *
 * @param key tenant, service and idempotency key
 * @param digest hex SHA-256 of method, path and body
 * @param entry the entry that may dispatch the request
 * @param incarnation the incarnation of that entry
 * @param claimNumber unique among the claims of that incarnation
 */
public record ClaimOnce(String key, String digest, EntryId entry, long incarnation, long claimNumber)
        implements Command {}
