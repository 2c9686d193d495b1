package org.cornelcove.model.command;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.request.RecordedAnswer;

/**
 * Records the complete answer under a claim, or that the outcome is unknown.
 *
 * @param key tenant, service and idempotency key
 * @param entry the claim's holder
 * @param incarnation the incarnation of that entry
 * @param answer the answer, empty when the outcome is unknown
 */
public record RecordOutcome(String key, EntryId entry, long incarnation, Optional<RecordedAnswer> answer)
        implements Command {}
