package org.cornelcove.control.state;

/**
 * How much ended and decided state is kept. Must be the same on every control host, since it affects the outcome of
 * commands.
 *
 * @param keptEndedJobs the maximum number of ended jobs
 * @param maxClaims the maximum number of claims on idempotency keys
 * @param maxBytes the maximum estimated memory of all claims, in bytes
 * @param maxAnswerBytes the maximum size of an answer kept for replay, in bytes
 */
public record Limits(int keptEndedJobs, int maxClaims, long maxBytes, long maxAnswerBytes) {
    /** The limits that every daemon uses. */
    public static final Limits STANDARD = new Limits(
            JobTable.KEPT_ENDED_JOBS, ClaimLedger.MAX_CLAIMS, ClaimLedger.MAX_BYTES, ClaimLedger.MAX_ANSWER_BYTES);
}
