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
 * Asks every live entry the same, all at once, and waits for a bounded time.
 *
 * <p>The leader tells which entries live; each is then asked by itself, so one that hangs holds up none of the others,
 * and the answer names it. Without a leader the asked daemon's own entry answers alone, and the answer says so: in an
 * incident a part is better than nothing. Asking the entries through the leader lost, since it would carry all their
 * buckets on the thread that holds the quorum together.
 *
 * <p>Example: with entries e1 and e2 live, e3 silent and e2 frozen, the answers are those of e1, e2 stands among the
 * unanswered, and e3 among the silent.
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
     * What the entries answered.
     *
     * @param answers by the entry's name
     * @param coverage which entries answered
     * @param <T> the type of an answer
     */
    record Answers<T>(SortedMap<EntryId, T> answers, Coverage coverage) {}

    /** The outcome of asking one entry. */
    private record Asked<T>(EntryId entry, Either<String, T> outcome) {}

    /**
     * Asks all live entries.
     *
     * @param call the call
     * @param request the request
     * @param own the same question put to the entry of this daemon, for when no leader answers
     * @param read makes of an answer what is wanted of it; an answer that it fails on counts as none
     * @return the answers; fails only when no leader answers and this daemon has no entry
     */
    <Q, R, T> CompletableFuture<Answers<T>> ask(
            Call<Q, R> call, Q request, Function<EntryServer, R> own, Function<R, T> read) {
        return backend.router()
                .read(Calls.STATUS, Empty.INSTANCE, ENTRIES_TIMEOUT_MS)
                .handle((status, thrown) -> thrown == null
                        ? askAll(status, call, request, read)
                        : askOwn(FailureException.causeOf(thrown), own.andThen(read)))
                .thenCompose(next -> next);
    }

    private <T> CompletableFuture<Answers<T>> askOwn(Throwable whyNoLeader, Function<EntryServer, T> own) {
        Optional<EntryServer> entry = backend.entry();
        if (entry.isEmpty()) {
            return CompletableFuture.failedFuture(whyNoLeader);
        }
        EntryId name = entry.get().name();
        return CompletableFuture.supplyAsync(() -> own.apply(entry.get()))
                .thenApply(answer -> new Answers<>(
                        new TreeMap<>(Map.of(name, answer)), new Coverage(List.of(name), List.of(), List.of(), false)));
    }

    private <Q, R, T> CompletableFuture<Answers<T>> askAll(
            ControlStatus status, Call<Q, R> call, Q request, Function<R, T> read) {
        List<EntryId> silent = status.entries().stream()
                .filter(entry -> !entry.live())
                .map(EntryStatus::entry)
                .toList();
        List<CompletableFuture<Asked<T>>> asked = status.entries().stream()
                .filter(EntryStatus::live)
                .map(entry -> askOne(entry, call, request, read))
                .toList();
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .thenApply(done ->
                        gather(asked.stream().map(CompletableFuture::join).toList(), silent));
    }

    private <Q, R, T> CompletableFuture<Asked<T>> askOne(
            EntryStatus entry, Call<Q, R> call, Q request, Function<R, T> read) {
        return backend.client()
                .call(entry.rpcAddress(), call, request, ANSWER_TIMEOUT_MS)
                .thenApplyAsync(read)
                .handle((answer, thrown) -> new Asked<>(
                        entry.entry(), thrown == null ? Either.right(answer) : Either.left(reason(thrown))));
    }

    private static String reason(Throwable thrown) {
        return FailureException.carriedBy(thrown)
                .map(EntryPoll::reason)
                .orElseGet(() -> "its answer can't be read: " + FailureException.causeOf(thrown));
    }

    private static String reason(Failure failure) {
        return failure.kind() == ErrorKind.CALL_TIMEOUT
                ? "no answer within " + ANSWER_TIMEOUT_MS + " ms"
                : failure.message();
    }

    private static <T> Answers<T> gather(List<Asked<T>> asked, List<EntryId> silent) {
        SortedMap<EntryId, T> answers = new TreeMap<>();
        List<EntryGap> gaps = new ArrayList<>();
        for (Asked<T> one : asked) {
            one.outcome()
                    .peek(answer -> answers.put(one.entry(), answer))
                    .peekLeft(reason -> gaps.add(new EntryGap(one.entry(), reason)));
        }
        return new Answers<>(answers, new Coverage(List.copyOf(answers.keySet()), gaps, silent, true));
    }
}
