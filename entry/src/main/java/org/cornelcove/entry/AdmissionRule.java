package org.cornelcove.entry;

import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;

/** Decides at arrival whether a request that can't start at once may wait. */
@FunctionalInterface
interface AdmissionRule {
    /** Refuses when a queue is full or the predicted wait leaves no time for the run. */
    AdmissionRule PREDICTED_WAIT = AdmissionRule::byPredictedWait;

    /**
     * What is known at arrival.
     *
     * @param queued requests that wait for the service
     * @param maxQueued the most that may
     * @param tenantQueued requests of the same tenant that wait
     * @param tenantMaxQueued the most that may
     * @param slots slots that this request may use
     * @param aheadMs expected run time of all work ahead of it, the running included
     * @param expectedRunMs its own expected run time
     * @param remainingMs the time to its deadline
     */
    record Situation(
            int queued,
            int maxQueued,
            int tenantQueued,
            int tenantMaxQueued,
            int slots,
            double aheadMs,
            double expectedRunMs,
            double remainingMs) {}

    /**
     * A refusal.
     *
     * @param kind {@code QUEUE_FULL} or {@code DEADLINE_UNREACHABLE}
     * @param waitMs the predicted wait
     */
    record Refusal(ErrorKind kind, long waitMs) {}

    /**
     * Decides.
     *
     * @param situation what is known
     * @return why the request is refused, empty when it may wait
     */
    Optional<Refusal> refuse(Situation situation);

    private static Optional<Refusal> byPredictedWait(Situation s) {
        long waitMs = (long) (s.aheadMs() / Math.max(1, s.slots()));
        if (s.queued() >= s.maxQueued() || s.tenantQueued() >= s.tenantMaxQueued()) {
            return Optional.of(new Refusal(ErrorKind.QUEUE_FULL, waitMs));
        }
        if (waitMs + s.expectedRunMs() > s.remainingMs()) {
            return Optional.of(new Refusal(ErrorKind.DEADLINE_UNREACHABLE, waitMs));
        }
        return Optional.empty();
    }
}
