package org.cornelcove.control.state;

import java.util.Optional;

import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.request.RecordedAnswer;

/**
 * A claim on an idempotency key. Immutable; each change creates a new instance.
 *
 * @param key tenant, service and idempotency key
 * @param digest hex SHA-256 of the request
 * @param entry the holder
 * @param incarnation the holder's incarnation
 * @param state open, or how it was decided
 * @param answer the recorded answer, empty unless the state is {@code RECORDED}
 * @param claimNumber the number that the holder assigned to it
 * @param decidedIndex the log index at which it left {@code OPEN}, 0 before
 */
public record Claim(
        String key,
        String digest,
        EntryId entry,
        long incarnation,
        ClaimState state,
        Optional<RecordedAnswer> answer,
        long claimNumber,
        long decidedIndex) {
    private static final long FIXED_BYTES = 256;

    static Claim open(ClaimOnce command) {
        return new Claim(
                command.key(),
                command.digest(),
                command.entry(),
                command.incarnation(),
                ClaimState.OPEN,
                Optional.empty(),
                command.claimNumber(),
                0);
    }

    static Claim released(ReleaseClaim command, long index) {
        return new Claim(
                command.key(),
                "",
                command.entry(),
                command.incarnation(),
                ClaimState.RELEASED,
                Optional.empty(),
                command.claimNumber(),
                index);
    }

    Claim recorded(RecordedAnswer newAnswer, long index) {
        return new Claim(
                key, digest, entry, incarnation, ClaimState.RECORDED, Optional.of(newAnswer), claimNumber, index);
    }

    Claim unknown(long index) {
        return new Claim(key, digest, entry, incarnation, ClaimState.UNKNOWN, Optional.empty(), claimNumber, index);
    }

    /** Returns the estimated memory size of the claim in bytes. */
    long sizeBytes() {
        return FIXED_BYTES
                + key.length()
                + digest.length()
                + answer.map(Claim::sizeBytes).orElse(0L);
    }

    static long sizeBytes(RecordedAnswer answer) {
        return answer.body().length + (long) answer.contentType().length();
    }
}
