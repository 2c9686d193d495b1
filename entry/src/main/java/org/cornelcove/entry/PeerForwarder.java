package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.message.PeerEntry;

/**
 * Forwards requests to other entries. A peer that refused a request as not run is skipped for a short time, so that
 * under general overload requests are queued where they arrived instead of being forwarded.
 */
final class PeerForwarder {
    private static final long FULL_FOR_NS = 50_000_000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long RETURN_MARGIN_MS = 20;

    private final EntrySettings settings;
    private final PeerLink link;
    private final EntryClock clock;
    private final RetryAfter random;
    private final Refusals refusals;
    private final ConcurrentMap<EntryId, Long> fullUntilNs = new ConcurrentHashMap<>();

    PeerForwarder(EntrySettings settings, PeerLink link, EntryClock clock, RetryAfter random) {
        this.settings = settings;
        this.link = link;
        this.clock = clock;
        this.random = random;
        refusals = new Refusals(random);
    }

    /** Returns a peer that owns targets of the service and is not known to be full, preferably in the same zone. */
    Optional<PeerEntry> peerFor(String service, List<PeerEntry> peers, boolean evenIfFull) {
        long now = clock.nowNs().getAsLong();
        List<PeerEntry> sameZone = new ArrayList<>();
        List<PeerEntry> otherZones = new ArrayList<>();
        for (PeerEntry peer : peers) {
            if (peer.targetsByService().getOrDefault(service, 0) > 0 && (evenIfFull || !isFull(peer, now))) {
                (peer.availabilityZone().equals(settings.availabilityZone()) ? sameZone : otherZones).add(peer);
            }
        }
        List<PeerEntry> candidates = sameZone.isEmpty() ? otherZones : sameZone;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private boolean isFull(PeerEntry peer, long now) {
        Long until = fullUntilNs.get(peer.entry());
        return until != null && until - now > 0;
    }

    /**
     * Forwards a request.
     *
     * @param request the request to forward
     * @param peer the entry to forward to
     * @param claimed whether this entry has claimed the key, so that the peer need not do so
     * @param mayQueue whether the peer may queue it
     * @return the answer; a failed call becomes "not run" if nothing was sent, and "unknown" otherwise
     */
    CompletableFuture<Answer> forward(ServiceRequest request, PeerEntry peer, boolean claimed, boolean mayQueue) {
        long remainingMs = (request.deadlineNs() - clock.nowNs().getAsLong()) / NANOS_PER_MS;
        ForwardedRequest message = new ForwardedRequest(
                request.id(),
                request.service().name(),
                request.tenant(),
                request.requestClass(),
                request.key(),
                claimed,
                Math.max(0, remainingMs - Math.min(RETURN_MARGIN_MS, remainingMs / 10)),
                request.method(),
                request.uri(),
                request.headers(),
                request.body(),
                mayQueue);
        return link.forward(peer.rpcAddress(), message)
                .thenApply(Answer::ofForwarded)
                .exceptionally(error -> ofError(error, peer))
                .thenApply(answer -> recordAnswer(answer, peer));
    }

    private Answer ofError(Throwable error, PeerEntry peer) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        boolean notSent =
                cause instanceof FailureException failed && failed.failure().kind() == ErrorKind.CALL_NOT_SENT;
        return notSent
                ? refusals.notRun("entry " + peer.entry() + " is unreachable")
                : refusals.unknown(Failure.of(ErrorKind.OUTCOME_UNKNOWN));
    }

    private Answer recordAnswer(Answer answer, PeerEntry peer) {
        if (answer.run() == RunState.NOT_RUN) {
            fullUntilNs.put(peer.entry(), clock.nowNs().getAsLong() + FULL_FOR_NS);
        }
        return answer;
    }
}
