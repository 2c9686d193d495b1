package org.cornelcove.control.state;

/**
 * How much of what has ended or was decided the durable state keeps. The same on every control host, since it decides
 * what commands come to.
 *
 * @param keptEndedJobs ended jobs
 * @param maxClaims claims on idempotency keys
 * @param maxBytes memory of all claims
 * @param maxAnswerBytes the largest answer kept for replay
 */
public record Limits(int keptEndedJobs, int maxClaims, long maxBytes, long maxAnswerBytes) {
    /** What every daemon uses. */
    public static final Limits STANDARD = new Limits(
            JobTable.KEPT_ENDED_JOBS, ClaimLedger.MAX_CLAIMS, ClaimLedger.MAX_BYTES, ClaimLedger.MAX_ANSWER_BYTES);
}
