package org.cornelcove.entry;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.policy.admission.Verdict;

/** Creates the error answers of the entry itself. */
final class Refusals {
    private static final long DEFAULT_WAIT_MS = 1_000;
    private static final long MICROS_PER_MS = 1_000;

    private final RetryAfter retryAfter;

    Refusals(RetryAfter retryAfter) {
        this.retryAfter = retryAfter;
    }

    Answer notReady(String why) {
        int seconds = retryAfter.seconds(DEFAULT_WAIT_MS);
        return notRun(Failure.of(ErrorKind.ENTRY_NOT_READY, why, seconds), seconds);
    }

    /**
     * Returns the refusal of a request of class once whose key was not checked. Its run state is unknown: an earlier
     * request with the same key may have run, which only the ledger can show.
     */
    Answer keyUnchecked(String why) {
        int seconds = retryAfter.seconds(DEFAULT_WAIT_MS);
        return Answer.ofFailure(RunState.UNKNOWN, Failure.of(ErrorKind.KEY_UNCHECKED, why, seconds), seconds);
    }

    Answer noTarget(String service) {
        int seconds = retryAfter.seconds(DEFAULT_WAIT_MS);
        return notRun(Failure.of(ErrorKind.NO_TARGET, service, seconds), seconds);
    }

    /** Returns the refusal of the queue, with the Retry-After computed by the queue. */
    Answer refused(Verdict verdict, String service) {
        ErrorKind kind = verdict.refusal().orElseThrow();
        int seconds = (int) Math.max(1, verdict.retryAfterSeconds());
        Object first = kind == ErrorKind.DEADLINE_UNREACHABLE ? verdict.predictedWaitUs() / MICROS_PER_MS : service;
        return notRun(Failure.of(kind, first, seconds), seconds);
    }

    Answer notRun(String why) {
        int seconds = retryAfter.seconds(DEFAULT_WAIT_MS);
        return notRun(Failure.of(ErrorKind.NOT_RUN, why, seconds), seconds);
    }

    /** Returns the refusal of a request whose key is in use; run is the run state of this request itself. */
    Answer keyInFlight(String key, long waitMs, RunState run) {
        int seconds = retryAfter.seconds(waitMs);
        return Answer.ofFailure(run, Failure.of(ErrorKind.KEY_IN_FLIGHT, key, seconds), seconds);
    }

    Answer rangeMoving(int range, long waitMs) {
        int seconds = retryAfter.seconds(waitMs);
        return notRun(
                Failure.of(ErrorKind.ENTRY_NOT_READY, "key range " + range + " is changing owner", seconds), seconds);
    }

    /** Returns the answer to an invalid request, without Retry-After: a retry would fail too. */
    Answer invalid(Failure failure) {
        return Answer.ofFailure(RunState.NOT_RUN, failure, 0);
    }

    Answer unknown(Failure failure) {
        return Answer.ofFailure(RunState.UNKNOWN, failure, retryAfter.seconds(DEFAULT_WAIT_MS));
    }

    private static Answer notRun(Failure failure, int seconds) {
        return Answer.ofFailure(RunState.NOT_RUN, failure, seconds);
    }
}
