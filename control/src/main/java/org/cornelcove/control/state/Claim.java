package org.cornelcove.control.state;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.request.RecordedAnswer;

/**
 * One claim on an idempotency key. Immutable; each change gives a new one.
 *
 * @param key tenant, service and idempotency key
 * @param digest hex SHA-256 of the request
 * @param entry the holder
 * @param incarnation the start of the holder
 * @param state where it stands
 * @param answer the recorded answer
 * @param claimedIndex the log index at which it was granted
 * @param decidedIndex the log index at which it left {@code OPEN}, 0 before
 */
public record Claim(
        String key,
        String digest,
        EntryId entry,
        long incarnation,
        ClaimState state,
        Optional<RecordedAnswer> answer,
        long claimedIndex,
        long decidedIndex) {
    private static final long FIXED_BYTES = 256;

    static Claim open(String key, String digest, EntryId entry, long incarnation, long index) {
        return new Claim(key, digest, entry, incarnation, ClaimState.OPEN, Optional.empty(), index, 0);
    }

    Claim recorded(RecordedAnswer whole, long index) {
        return new Claim(key, digest, entry, incarnation, ClaimState.RECORDED, Optional.of(whole), claimedIndex, index);
    }

    Claim unknown(long index) {
        return new Claim(key, digest, entry, incarnation, ClaimState.UNKNOWN, Optional.empty(), claimedIndex, index);
    }

    /** Returns about how much memory the claim takes. */
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
