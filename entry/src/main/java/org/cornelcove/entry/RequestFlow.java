package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/** Routes each request according to its class and records its result in the metrics. */
final class RequestFlow {
    private final EntryClock clock;
    private final Dispatcher dispatcher;
    private final ExclusiveKeys exclusive;
    private final OnceRequests once;
    private final EntryMetrics metrics;
    private final Refusals refusals;
    private final RecentRequests recent;
    private final AtomicInteger inFlight = new AtomicInteger();

    RequestFlow(
            Dispatcher.Parts parts,
            Dispatcher dispatcher,
            ExclusiveKeys exclusive,
            OnceRequests once,
            RecentRequests recent) {
        clock = parts.clock();
        metrics = parts.metrics();
        refusals = parts.refusals();
        this.dispatcher = dispatcher;
        this.exclusive = exclusive;
        this.once = once;
        this.recent = recent;
    }

    int inFlight() {
        return inFlight.get();
    }

    /** Runs a request; the future completes with the answer and never exceptionally. */
    CompletableFuture<Answer> run(ServiceRequest request, boolean claimed) {
        inFlight.incrementAndGet();
        recent.add(request.trace());
        return guarded(request, claimed).handle((answer, error) -> {
            Answer result = error == null
                    ? answer
                    : refusals.unknown(Failure.of(ErrorKind.INTERNAL, String.valueOf(error.getMessage())));
            finish(request, result);
            return result;
        });
    }

    /** Converts an exception into a failed future, so that the request is still answered and counted. */
    private CompletableFuture<Answer> guarded(ServiceRequest request, boolean claimed) {
        try {
            return route(request, claimed);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private CompletableFuture<Answer> route(ServiceRequest request, boolean claimed) {
        return switch (request.requestClass()) {
            case SAFE -> dispatcher.submit(request);
            case EXCLUSIVE -> claimed ? dispatcher.submit(request) : exclusive.submit(request);
            case ONCE -> claimed ? dispatcher.submit(request) : once.submit(request);
        };
    }

    private void finish(ServiceRequest request, Answer answer) {
        long now = clock.nowNs().getAsLong();
        metrics.latency(request.tenant(), request.requestClass(), now - request.arrivedNs());
        answer.error().ifPresent(kind -> {
            metrics.refused(kind);
            request.trace().add(now, "failed with", kind);
        });
        request.trace().add(now, "answered", answer.run());
        inFlight.decrementAndGet();
    }
}
