package org.cornelcove.entry;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.policy.admission.Verdict;

/** Makes the system's own answers to requests. */
final class Refusals {
    private static final long BRIEF_MS = 1_000;
    private static final long MICROS_PER_MS = 1_000;

    private final RetryAfter retryAfter;

    Refusals(RetryAfter retryAfter) {
        this.retryAfter = retryAfter;
    }

    Answer notReady(String why) {
        int seconds = retryAfter.seconds(BRIEF_MS);
        return notRun(Failure.of(ErrorKind.ENTRY_NOT_READY, why, seconds), seconds);
    }

    /**
     * Returns the refusal of a request of class once that nothing was done for. It does not say "not run": its key may
     * have run when it was sent before, and only the ledger could tell.
     */
    Answer keyUnchecked(String why) {
        int seconds = retryAfter.seconds(BRIEF_MS);
        return Answer.ofFailure(RunState.UNKNOWN, Failure.of(ErrorKind.KEY_UNCHECKED, why, seconds), seconds);
    }

    Answer noTarget(String service) {
        int seconds = retryAfter.seconds(BRIEF_MS);
        return notRun(Failure.of(ErrorKind.NO_TARGET, service, seconds), seconds);
    }

    /** Returns the queue's refusal, with the instant of return that the queue booked. */
    Answer refused(Verdict verdict, String service) {
        ErrorKind kind = verdict.refusal().orElseThrow();
        int seconds = (int) Math.max(1, verdict.retryAfterSeconds());
        Object first = kind == ErrorKind.DEADLINE_UNREACHABLE ? verdict.predictedWaitUs() / MICROS_PER_MS : service;
        return notRun(Failure.of(kind, first, seconds), seconds);
    }

    Answer notRun(String why) {
        int seconds = retryAfter.seconds(BRIEF_MS);
        return notRun(Failure.of(ErrorKind.NOT_RUN, why, seconds), seconds);
    }

    /** Returns the refusal of a request whose key is in use; run tells what is known of this request itself. */
    Answer keyInFlight(String key, long waitMs, RunState run) {
        int seconds = retryAfter.seconds(waitMs);
        return Answer.ofFailure(run, Failure.of(ErrorKind.KEY_IN_FLIGHT, key, seconds), seconds);
    }

    Answer rangeMoving(int range, long waitMs) {
        int seconds = retryAfter.seconds(waitMs);
        return notRun(
                Failure.of(ErrorKind.ENTRY_NOT_READY, "key range " + range + " changes its owner", seconds), seconds);
    }

    /** Returns the answer to a request that is wrong in itself; coming back does not help. */
    Answer wrong(Failure failure) {
        return Answer.ofFailure(RunState.NOT_RUN, failure, 0);
    }

    Answer unknown(Failure failure) {
        return Answer.ofFailure(RunState.UNKNOWN, failure, retryAfter.seconds(BRIEF_MS));
    }

    private static Answer notRun(Failure failure, int seconds) {
        return Answer.ofFailure(RunState.NOT_RUN, failure, seconds);
    }
}
