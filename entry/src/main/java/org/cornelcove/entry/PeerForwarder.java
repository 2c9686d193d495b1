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
 * Hands requests to other entries. A peer that just had no slot to spare is left alone for a moment, so that under
 * general overload requests wait where they are, instead of being passed around.
 */
final class PeerForwarder {
    private static final long FULL_FOR_NS = 50_000_000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long MARGIN_MS = 20;

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

    /** Returns a peer that owns targets of the service and is not known to be full, of the own zone if there is one. */
    Optional<PeerEntry> peerFor(String service, List<PeerEntry> peers, boolean evenIfFull) {
        long now = clock.nowNs().getAsLong();
        List<PeerEntry> near = new ArrayList<>();
        List<PeerEntry> far = new ArrayList<>();
        for (PeerEntry peer : peers) {
            if (peer.targetsByService().getOrDefault(service, 0) > 0 && (evenIfFull || !isFull(peer, now))) {
                (peer.availabilityZone().equals(settings.availabilityZone()) ? near : far).add(peer);
            }
        }
        List<PeerEntry> pick = near.isEmpty() ? far : near;
        return pick.isEmpty() ? Optional.empty() : Optional.of(pick.get(random.below(pick.size())));
    }

    private boolean isFull(PeerEntry peer, long now) {
        Long until = fullUntilNs.get(peer.entry());
        return until != null && until - now > 0;
    }

    /**
     * Forwards a request.
     *
     * @param request the request
     * @param peer to whom
     * @param claimed whether this entry holds the key, so that the peer needs not ask
     * @param mayQueue whether it may wait there
     * @return the answer; a failed call is told as what it proves
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
                Math.max(0, remainingMs - Math.min(MARGIN_MS, remainingMs / 10)),
                request.method(),
                request.uri(),
                request.headers(),
                request.body(),
                mayQueue);
        return link.forward(peer.rpcAddress(), message)
                .thenApply(Answer::ofForwarded)
                .exceptionally(error -> ofError(error, peer))
                .thenApply(answer -> note(answer, peer));
    }

    private Answer ofError(Throwable error, PeerEntry peer) {
        Throwable cause = error.getCause() == null ? error : error.getCause();
        boolean notSent =
                cause instanceof FailureException failed && failed.failure().kind() == ErrorKind.CALL_NOT_SENT;
        return notSent
                ? refusals.notRun("entry " + peer.entry() + " can't be reached")
                : refusals.unknown(Failure.of(ErrorKind.OUTCOME_UNKNOWN));
    }

    private Answer note(Answer answer, PeerEntry peer) {
        if (answer.run() == RunState.NOT_RUN) {
            fullUntilNs.put(peer.entry(), clock.nowNs().getAsLong() + FULL_FOR_NS);
        }
        return answer;
    }
}
