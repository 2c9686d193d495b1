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
 * Finds the leader among the control hosts. A call goes to the host that answered last; when that host surely did not
 * take it (it does not lead, or nothing was sent), the next one is asked, until the time is up. A call whose outcome
 * is unknown is never sent again from here, unless it is a read.
 */
public final class LeaderRouter {
    private static final Set<ErrorKind> NOT_TAKEN = EnumSet.of(ErrorKind.NOT_LEADER, ErrorKind.CALL_NOT_SENT);
    /** Failures after which another host is asked first, and a read goes on to it. */
    private static final Set<ErrorKind> UNANSWERED = EnumSet.of(
            ErrorKind.NOT_LEADER,
            ErrorKind.CALL_NOT_SENT,
            ErrorKind.CALL_TIMEOUT,
            ErrorKind.PEER_UNREACHABLE,
            ErrorKind.PROPOSAL_OUTCOME_UNKNOWN,
            ErrorKind.NO_QUORUM);

    private static final long RETRY_PAUSE_MS = 25;
    private static final long READ_ATTEMPTS = 3;
    /** A call with less time left would most likely end without an answer, and its outcome would be unknown. */
    private static final long LEAST_ATTEMPT_MS = 30;

    private final CallClient client;
    private final Supplier<List<String>> addresses;
    /** Position of the address to ask first; stepped on when it did not take a call. */
    private final AtomicInteger preferred = new AtomicInteger();

    private LeaderRouter(CallClient client, Supplier<List<String>> addresses) {
        this.client = client;
        this.addresses = addresses;
    }

    /**
     * Returns a router.
     *
     * @param client makes the calls
     * @param addresses the rpc addresses of the control hosts known now
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
     * @return the answer; fails with kind {@code NO_QUORUM} when no host took the call in time, and with the failure of
     *     the call itself otherwise
     */
    public <Q, R> CompletableFuture<R> call(Call<Q, R> call, Q request, long timeoutMs) {
        return attempt(
                new Search<>(call, request, deadlineNs(timeoutMs), timeoutMs, false, Optional.empty()),
                preferred.get());
    }

    /**
     * Reads from the leader. A host that does not answer within a part of the time is passed over, since asking twice
     * changes nothing: so a frozen or cut-off control host does not pass for the whole group.
     *
     * @param call the call, which must change nothing
     * @param request the request
     * @param timeoutMs how long to look for a leader and to wait for its answer, together
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code NO_QUORUM} when no host answered in time, and with the failure that
     *     the leader gave otherwise
     */
    public <Q, R> CompletableFuture<R> read(Call<Q, R> call, Q request, long timeoutMs) {
        long attemptMs = Math.max(1, timeoutMs / READ_ATTEMPTS);
        return attempt(
                new Search<>(call, request, deadlineNs(timeoutMs), attemptMs, true, Optional.empty()), preferred.get());
    }

    /**
     * Makes a call that may be repeated, since the request carries an id by which the leader knows it again.
     *
     * @param call the call
     * @param request the request
     * @param timeoutMs how long to look for a leader and to wait for its answer, together
     * @param attemptMs how long to wait for one host at most
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return the answer; fails with kind {@code NO_QUORUM} when surely no host took the call, with {@code
     *     PROPOSAL_OUTCOME_UNKNOWN} when one may have, and with the failure that the leader gave otherwise
     */
    public <Q, R> CompletableFuture<R> repeat(Call<Q, R> call, Q request, long timeoutMs, long attemptMs) {
        return attempt(
                new Search<>(call, request, deadlineNs(timeoutMs), attemptMs, true, Optional.of(new AtomicBoolean())),
                preferred.get());
    }

    private static long deadlineNs(long timeoutMs) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    /**
     * A call on its way to the leader.
     *
     * @param call the call
     * @param request the request
     * @param deadlineNs when the search is over
     * @param attemptMs how long to wait for one host at most
     * @param reads whether it may be asked of several hosts, since it changes nothing, or nothing the second time
     * @param taken whether a host may have taken it, for calls whose caller has to know
     */
    private record Search<Q, R>(
            Call<Q, R> call, Q request, long deadlineNs, long attemptMs, boolean reads, Optional<AtomicBoolean> taken) {
        Set<ErrorKind> goOn() {
            return reads ? UNANSWERED : NOT_TAKEN;
        }
    }

    private <Q, R> CompletableFuture<R> attempt(Search<Q, R> search, int position) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(search.deadlineNs() - System.nanoTime());
        if (leftMs < (search.taken().isPresent() ? LEAST_ATTEMPT_MS : 1)) {
            ErrorKind kind = search.taken().filter(AtomicBoolean::get).isPresent()
                    ? ErrorKind.PROPOSAL_OUTCOME_UNKNOWN
                    : ErrorKind.NO_QUORUM;
            return CompletableFuture.failedFuture(Failure.of(kind).asException());
        }
        List<String> known = addresses.get();
        if (known.isEmpty()) {
            return later(search, position);
        }
        String address = known.get(Math.floorMod(position, known.size()));
        return send(search, address, Math.min(leftMs, search.attemptMs()))
                .handle((answer, thrown) -> {
                    if (thrown == null) {
                        return CompletableFuture.completedFuture(answer);
                    }
                    if (!isAmong(NOT_TAKEN, thrown)) {
                        search.taken().ifPresent(taken -> taken.set(true));
                    }
                    if (isAmong(UNANSWERED, thrown)) {
                        preferred.compareAndSet(position, position + 1);
                    }
                    return isAmong(search.goOn(), thrown)
                            ? later(search, position)
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
     * Asks again after a pause. A read goes round all hosts by itself: other calls move the preferred host on as well,
     * and could make it skip the one that answers.
     */
    private <Q, R> CompletableFuture<R> later(Search<Q, R> search, int position) {
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
