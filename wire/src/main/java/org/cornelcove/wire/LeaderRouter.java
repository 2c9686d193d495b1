package org.cornelcove.wire;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;

/**
 * Routes calls to the leader among the control hosts. A call goes to the host that answered last; when that host
 * certainly did not accept it (it is not the leader, or nothing was sent), the next one is tried, until the timeout. A
 * call whose outcome is unknown is never resent by {@link #call}; reads and repeatable calls are.
 */
public final class LeaderRouter {
    private static final Set<ErrorKind> NOT_ACCEPTED = EnumSet.of(ErrorKind.NOT_LEADER, ErrorKind.CALL_NOT_SENT);
    /** Failures after which another host is preferred, and a repeatable call is sent to it. */
    private static final Set<ErrorKind> UNANSWERED = EnumSet.of(
            ErrorKind.NOT_LEADER,
            ErrorKind.CALL_NOT_SENT,
            ErrorKind.CALL_TIMEOUT,
            ErrorKind.PEER_UNREACHABLE,
            ErrorKind.PROPOSAL_OUTCOME_UNKNOWN,
            ErrorKind.NO_QUORUM);

    private static final long RETRY_PAUSE_MS = 25;
    private static final long READ_ATTEMPTS = 3;
    /** With less time left, a call would most likely time out and leave its outcome unknown. */
    private static final long MIN_ATTEMPT_MS = 30;

    private final CallClient client;
    private final Supplier<List<String>> addresses;
    /** Position of the address to try first; advanced when that host did not answer a call. */
    private final AtomicInteger preferred = new AtomicInteger();

    private LeaderRouter(CallClient client, Supplier<List<String>> addresses) {
        this.client = client;
        this.addresses = addresses;
    }

    /**
     * Returns a router.
     *
     * @param client sends the calls
     * @param addresses returns the RPC addresses of the control hosts currently known
     * @return the router
     */
    public static LeaderRouter create(CallClient client, Supplier<List<String>> addresses) {
        return new LeaderRouter(client, addresses);
    }

    /**
     * Calls the leader.
     *
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to look for a leader and to wait for its answer, together
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code NO_QUORUM} when no host accepted the call in time, otherwise with the
     *     failure of the call itself
     */
    public <Q, R> CompletableFuture<R> call(Call<Q, R> call, Q request, long timeoutMs) {
        return attempt(
                new Search<>(call, request, deadlineNs(timeoutMs), timeoutMs, false, Optional.empty()),
                preferred.get());
    }

    /**
     * Reads from the leader. A host that does not answer within a fraction of the timeout is skipped, which is safe as
     * a read has no effect: one frozen or partitioned control host does not make the whole group look unavailable.
     *
     * @param call the call, which must have no effect
     * @param request the request
     * @param timeoutMs how long to look for a leader and to wait for its answer, together
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code NO_QUORUM} when no host answered in time, otherwise with the failure
     *     that the leader returned
     */
    public <Q, R> CompletableFuture<R> read(Call<Q, R> call, Q request, long timeoutMs) {
        long attemptMs = Math.max(1, timeoutMs / READ_ATTEMPTS);
        return attempt(
                new Search<>(call, request, deadlineNs(timeoutMs), attemptMs, true, Optional.empty()), preferred.get());
    }

    /**
     * Makes a call that may be resent, because the request carries an id by which the leader detects duplicates.
     *
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to look for a leader and to wait for its answer, together
     * @param attemptMs the longest wait for a single host, in milliseconds
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code NO_QUORUM} when certainly no host accepted the call, with {@code
     *     PROPOSAL_OUTCOME_UNKNOWN} when one may have, otherwise with the failure that the leader returned
     */
    public <Q, R> CompletableFuture<Repeated<R>> repeat(Call<Q, R> call, Q request, long timeoutMs, long attemptMs) {
        AtomicBoolean taken = new AtomicBoolean();
        return attempt(
                        new Search<>(call, request, deadlineNs(timeoutMs), attemptMs, true, Optional.of(taken)),
                        preferred.get())
                .thenApply(answer -> new Repeated<>(answer, taken.get()));
    }

    /**
     * The answer to a call that may have been sent several times.
     *
     * @param answer the answer to the last attempt
     * @param earlierInDoubt whether a host may have accepted an earlier attempt, or may still accept it, so that a refusal
     *     is true of the last attempt only
     * @param <R> the answer's type
     */
    public record Repeated<R>(R answer, boolean earlierInDoubt) {}

    private static long deadlineNs(long timeoutMs) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    /**
     * A call with the state of its search for the leader.
     *
     * @param call the call
     * @param request the request
     * @param deadlineNs when the search ends, on the {@link System#nanoTime} clock
     * @param attemptMs the longest wait for a single host, in milliseconds
     * @param reads whether it may be sent to several hosts, because it has no effect or is idempotent
     * @param taken set once a host may have accepted it; present for calls that report this to their caller
     */
    private record Search<Q, R>(
            Call<Q, R> call, Q request, long deadlineNs, long attemptMs, boolean reads, Optional<AtomicBoolean> taken) {
        Set<ErrorKind> retriedKinds() {
            return reads ? UNANSWERED : NOT_ACCEPTED;
        }
    }

    private <Q, R> CompletableFuture<R> attempt(Search<Q, R> search, int position) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(search.deadlineNs() - System.nanoTime());
        if (leftMs < (search.taken().isPresent() ? MIN_ATTEMPT_MS : 1)) {
            ErrorKind kind = search.taken().filter(AtomicBoolean::get).isPresent()
                    ? ErrorKind.PROPOSAL_OUTCOME_UNKNOWN
                    : ErrorKind.NO_QUORUM;
            return CompletableFuture.failedFuture(Failure.of(kind).asException());
        }
        List<String> known = addresses.get();
        if (known.isEmpty()) {
            return retryLater(search, position);
        }
        String address = known.get(Math.floorMod(position, known.size()));
        return send(search, address, Math.min(leftMs, search.attemptMs()))
                .handle((answer, thrown) -> {
                    if (thrown == null) {
                        return CompletableFuture.completedFuture(answer);
                    }
                    if (!isAmong(NOT_ACCEPTED, thrown)) {
                        search.taken().ifPresent(taken -> taken.set(true));
                    }
                    if (isAmong(UNANSWERED, thrown)) {
                        preferred.compareAndSet(position, position + 1);
                    }
                    return isAmong(search.retriedKinds(), thrown)
                            ? retryLater(search, position)
                            : CompletableFuture.<R>failedFuture(FailureException.causeOf(thrown));
                })
                .thenCompose(next -> next);
    }

    private <Q, R> CompletableFuture<R> send(Search<Q, R> search, String address, long timeoutMs) {
        return search.taken().isPresent()
                ? client.callProved(address, search.call(), search.request(), timeoutMs)
                : client.call(address, search.call(), search.request(), timeoutMs);
    }

    /**
     * Retries after a pause. A repeatable call iterates over the hosts on its own rather than following the preferred
     * position: concurrent calls advance that as well and could make it skip the host that answers.
     */
    private <Q, R> CompletableFuture<R> retryLater(Search<Q, R> search, int position) {
        return CompletableFuture.supplyAsync(
                        () -> attempt(search, search.reads() ? position + 1 : preferred.get()),
                        CompletableFuture.delayedExecutor(RETRY_PAUSE_MS, TimeUnit.MILLISECONDS))
                .thenCompose(next -> next);
    }

    private static boolean isAmong(Set<ErrorKind> kinds, Throwable thrown) {
        return FailureException.carriedBy(thrown)
                .map(Failure::kind)
                .filter(kinds::contains)
                .isPresent();
    }
}
