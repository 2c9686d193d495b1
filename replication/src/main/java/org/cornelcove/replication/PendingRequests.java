package org.cornelcove.replication;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;

/** The requests that a member has not answered yet, by the tokens under which the core knows them. Thread-safe. */
final class PendingRequests {
    private final Map<Long, CompletableFuture<byte[]>> proposals = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Long>> others = new ConcurrentHashMap<>();
    private final AtomicLong lastToken = new AtomicLong();

    long addProposal(CompletableFuture<byte[]> result) {
        long token = lastToken.incrementAndGet();
        proposals.put(token, result);
        return token;
    }

    long add(CompletableFuture<Long> result) {
        long token = lastToken.incrementAndGet();
        others.put(token, result);
        return token;
    }

    void completeProposal(long token, byte[] result) {
        Optional.ofNullable(proposals.remove(token)).ifPresent(f -> f.complete(result));
    }

    void complete(long token, long index) {
        Optional.ofNullable(others.remove(token)).ifPresent(f -> f.complete(index));
    }

    void fail(long token, Failure failure) {
        FailureException cause = failure.asException();
        Optional.ofNullable(proposals.remove(token)).ifPresent(f -> f.completeExceptionally(cause));
        Optional.ofNullable(others.remove(token)).ifPresent(f -> f.completeExceptionally(cause));
    }

    /** Fails all requests of a member that has stopped. */
    void failAll() {
        FailureException outcomeUnknown =
                Failure.of(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN).asException();
        FailureException notLeader =
                Failure.of(ErrorKind.NOT_LEADER, "the other control hosts").asException();
        proposals.forEach((token, f) -> f.completeExceptionally(outcomeUnknown));
        others.forEach((token, f) -> f.completeExceptionally(notLeader));
        proposals.clear();
        others.clear();
    }
}
