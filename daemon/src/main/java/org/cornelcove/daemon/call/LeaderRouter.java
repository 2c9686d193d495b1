package org.cornelcove.daemon.call;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.wire.Call;
import org.cornelcove.wire.CallClient;

/**
 * Finds the leader among the control hosts. A call goes to the host that answered last; when that host surely did not
 * take it (it does not lead, or nothing was sent), the next one is asked, until the time is up. A call whose outcome
 * is unknown is never sent again from here.
 */
public final class LeaderRouter {
    private static final Set<ErrorKind> NOT_TAKEN = EnumSet.of(ErrorKind.NOT_LEADER, ErrorKind.CALL_NOT_SENT);
    /** Failures after which another host is asked first. */
    private static final Set<ErrorKind> MOVE_ON = EnumSet.of(
            ErrorKind.NOT_LEADER,
            ErrorKind.CALL_NOT_SENT,
            ErrorKind.CALL_TIMEOUT,
            ErrorKind.PEER_UNREACHABLE,
            ErrorKind.PROPOSAL_OUTCOME_UNKNOWN,
            ErrorKind.NO_QUORUM);

    private static final long RETRY_PAUSE_MS = 25;

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
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        return attempt(call, request, deadlineNs);
    }

    private <Q, R> CompletableFuture<R> attempt(Call<Q, R> call, Q request, long deadlineNs) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
        if (leftMs <= 0) {
            return CompletableFuture.failedFuture(
                    Failure.of(ErrorKind.NO_QUORUM).asException());
        }
        List<String> known = addresses.get();
        int position = preferred.get();
        String address = known.get(Math.floorMod(position, known.size()));
        return client.call(address, call, request, leftMs)
                .handle((answer, thrown) -> {
                    if (thrown == null) {
                        return CompletableFuture.completedFuture(answer);
                    }
                    if (isAmong(MOVE_ON, thrown)) {
                        preferred.compareAndSet(position, position + 1);
                    }
                    return isAmong(NOT_TAKEN, thrown)
                            ? later(call, request, deadlineNs)
                            : CompletableFuture.<R>failedFuture(FailureException.causeOf(thrown));
                })
                .thenCompose(next -> next);
    }

    private <Q, R> CompletableFuture<R> later(Call<Q, R> call, Q request, long deadlineNs) {
        return CompletableFuture.supplyAsync(
                        () -> attempt(call, request, deadlineNs),
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
