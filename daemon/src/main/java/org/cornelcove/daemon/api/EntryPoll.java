package org.cornelcove.daemon.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.vavr.control.Either;
import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.control.view.EntryStatus;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.entry.EntryServer;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.view.Coverage;
import org.cornelcove.model.view.EntryGap;
import org.cornelcove.wire.Call;

/**
 * Sends the same query to all live entries in parallel and waits for a bounded time.
 *
 * <p>The leader reports the live entries. Each is queried directly, so that an entry that hangs does not delay the
 * others; it is listed as unanswered. Without a leader only the entry of this daemon answers, and the coverage shows
 * this: during an incident a partial answer is better than none. Querying the entries through the leader was rejected
 * because it would carry all their buckets on the thread that maintains the quorum.
 *
 * <p>Example: with entries e1 and e2 live, e3 silent and e2 hanging, the answers are those of e1, e2 is listed as
 * unanswered, and e3 as silent.
 */
final class EntryPoll {
    private static final long ENTRIES_TIMEOUT_MS = 3_000;
    private static final long ANSWER_TIMEOUT_MS = 2_000;

    private final Backend backend;

    private EntryPoll(Backend backend) {
        this.backend = backend;
    }

    static EntryPoll of(Backend backend) {
        return new EntryPoll(backend);
    }

    /**
     * The answers of the entries.
     *
     * @param answers the answers by the name of the entry
     * @param coverage which entries answered
     * @param <T> the type of an answer
     */
    record Answers<T>(SortedMap<EntryId, T> answers, Coverage coverage) {}

    /** The answer of one entry, or the reason why there is none. */
    private record PollResult<T>(EntryId entry, Either<String, T> outcome) {}

    /**
     * Queries all live entries.
     *
     * @param call the call
     * @param request the request
     * @param localQuery the same query on the entry of this daemon, used if no leader answers
     * @param read converts an answer; an entry whose answer it fails on counts as unanswered
     * @return the answers; fails only if no leader answers and this daemon has no entry
     */
    <Q, R, T> CompletableFuture<Answers<T>> poll(
            Call<Q, R> call, Q request, Function<EntryServer, R> localQuery, Function<R, T> read) {
        return backend.router()
                .read(Calls.STATUS, Empty.INSTANCE, ENTRIES_TIMEOUT_MS)
                .handle((status, thrown) -> thrown == null
                        ? queryLiveEntries(status, call, request, read)
                        : queryLocalEntry(FailureException.causeOf(thrown), localQuery.andThen(read)))
                .thenCompose(next -> next);
    }

    private <T> CompletableFuture<Answers<T>> queryLocalEntry(
            Throwable leaderFailure, Function<EntryServer, T> localQuery) {
        Optional<EntryServer> entry = backend.entry();
        if (entry.isEmpty()) {
            return CompletableFuture.failedFuture(leaderFailure);
        }
        EntryId name = entry.get().name();
        return CompletableFuture.supplyAsync(() -> localQuery.apply(entry.get()))
                .thenApply(answer -> new Answers<>(
                        new TreeMap<>(Map.of(name, answer)), new Coverage(List.of(name), List.of(), List.of(), false)));
    }

    private <Q, R, T> CompletableFuture<Answers<T>> queryLiveEntries(
            ControlStatus status, Call<Q, R> call, Q request, Function<R, T> read) {
        List<EntryId> silent = status.entries().stream()
                .filter(entry -> !entry.live())
                .map(EntryStatus::entry)
                .toList();
        List<CompletableFuture<PollResult<T>>> polled = status.entries().stream()
                .filter(EntryStatus::live)
                .map(entry -> queryEntry(entry, call, request, read))
                .toList();
        return CompletableFuture.allOf(polled.toArray(CompletableFuture[]::new))
                .thenApply(done ->
                        gather(polled.stream().map(CompletableFuture::join).toList(), silent));
    }

    private <Q, R, T> CompletableFuture<PollResult<T>> queryEntry(
            EntryStatus entry, Call<Q, R> call, Q request, Function<R, T> read) {
        return backend.client()
                .call(entry.rpcAddress(), call, request, ANSWER_TIMEOUT_MS)
                .thenApplyAsync(read)
                .handle((answer, thrown) -> new PollResult<>(
                        entry.entry(), thrown == null ? Either.right(answer) : Either.left(reason(thrown))));
    }

    private static String reason(Throwable thrown) {
        return FailureException.carriedBy(thrown)
                .map(EntryPoll::reason)
                .orElseGet(() -> "its answer could not be decoded: " + FailureException.causeOf(thrown));
    }

    private static String reason(Failure failure) {
        return failure.kind() == ErrorKind.CALL_TIMEOUT
                ? "no answer within " + ANSWER_TIMEOUT_MS + " ms"
                : failure.message();
    }

    private static <T> Answers<T> gather(List<PollResult<T>> polled, List<EntryId> silent) {
        SortedMap<EntryId, T> answers = new TreeMap<>();
        List<EntryGap> gaps = new ArrayList<>();
        for (PollResult<T> result : polled) {
            result.outcome()
                    .peek(answer -> answers.put(result.entry(), answer))
                    .peekLeft(reason -> gaps.add(new EntryGap(result.entry(), reason)));
        }
        return new Answers<>(answers, new Coverage(List.copyOf(answers.keySet()), gaps, silent, true));
    }
}
