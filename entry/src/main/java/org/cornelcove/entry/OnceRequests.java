package org.cornelcove.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimInProgress;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ClaimReplayed;
import org.cornelcove.model.command.ClaimUnknown;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.request.RecordedAnswer;

/**
 * Runs requests of class once at most once.
 *
 * <p>Before the first byte is sent to a target, the quorum commits a claim on the key. Only the entry that receives
 * {@link ClaimGranted} for this request dispatches it, and the dispatcher retries an attempt only if it is proved not
 * run. The result is then committed to the ledger:
 *
 * <ul>
 *   <li>a complete answer is recorded before it is returned to the caller, so that a repeated request gets the same
 *       answer; if the deadline passes first, the caller gets the answer anyway and recording continues;
 *   <li>proved not run: the claim is released, and the caller gets "not run";
 *   <li>anything else is recorded as unknown, and the key never runs again.
 * </ul>
 *
 * <p>If the answer to a claim is lost, the claim may or may not be in the ledger, and nothing has been dispatched under
 * it. The claim is repeated with its number, which the ledger grants again, while the deadline leaves time to release
 * it. After that the caller gets "not run" only once the release is committed, and "unknown" otherwise.
 *
 * <p>Answering before recording would save a commit on the return path. It was rejected because, after a crash in
 * between, a caller that already has its answer would get "unknown" for the same key.
 */
final class OnceRequests {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long IN_PROGRESS_WAIT_MS = 1_000;
    private static final long RELEASE_WAIT_MS = 1_000;
    private static final long REPEAT_PAUSE_MS = 50;
    private static final Set<ErrorKind> WITHOUT_EFFECT =
            Set.of(ErrorKind.CALL_NOT_SENT, ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM);

    private final EntrySettings settings;
    private final EntryClock clock;
    private final Supplier<EntryView> view;
    private final Dispatcher dispatcher;
    private final ControlLink control;
    private final Settler settler;
    private final Refusals refusals;
    private final Set<String> openKeys = ConcurrentHashMap.newKeySet();
    private final AtomicLong lastClaim = new AtomicLong();

    OnceRequests(Dispatcher.Parts parts, Dispatcher dispatcher, ControlLink control, Settler settler) {
        settings = parts.settings();
        clock = parts.clock();
        view = parts.view();
        refusals = parts.refusals();
        this.dispatcher = dispatcher;
        this.control = control;
        this.settler = settler;
    }

    /** Claims the key and runs the request. */
    CompletableFuture<Answer> submit(ServiceRequest request) {
        if (!view.get().isLeased(clock.nowNs().getAsLong())) {
            return done(refusals.keyUnchecked("this entry's lease has lapsed"));
        }
        String key = ExclusiveKeys.scopedKey(request);
        if (!openKeys.add(key)) {
            return done(refusals.keyInFlight(request.key(), IN_PROGRESS_WAIT_MS, RunState.UNKNOWN));
        }
        request.trace().add(clock.nowNs().getAsLong(), "claims key", key);
        ClaimOnce claim = new ClaimOnce(
                key, digestOf(request), settings.entry(), settings.incarnation(), lastClaim.incrementAndGet());
        return claim(request, claim, false)
                .handle((outcome, error) ->
                        error == null ? onClaimOutcome(request, claim, outcome) : onClaimFailed(request, claim, error))
                .thenCompose(answer -> answer);
    }

    /**
     * Sends a claim until its outcome is known.
     *
     * @param request the request
     * @param claim the claim, the same in each attempt
     * @param perhapsGranted whether an earlier attempt ended without an answer
     * @return the outcome; fails with the last attempt
     */
    private CompletableFuture<Outcome> claim(ServiceRequest request, ClaimOnce claim, boolean perhapsGranted) {
        return control.execute(claim)
                .copy()
                .orTimeout(remainingMs(request), TimeUnit.MILLISECONDS)
                .handle((outcome, error) -> {
                    if (error == null) {
                        return CompletableFuture.completedFuture(outcome);
                    }
                    boolean unknown = perhapsGranted || !isWithoutEffect(error);
                    if (!unknown || remainingMs(request) <= RELEASE_WAIT_MS) {
                        return CompletableFuture.<Outcome>failedFuture(
                                unknown ? lostAnswer(request, error) : FailureException.causeOf(error));
                    }
                    request.trace().add(clock.nowNs().getAsLong(), "repeats the claim:", reason(error));
                    return CompletableFuture.supplyAsync(
                                    () -> claim(request, claim, true),
                                    CompletableFuture.delayedExecutor(REPEAT_PAUSE_MS, TimeUnit.MILLISECONDS))
                            .thenCompose(next -> next);
                })
                .thenCompose(next -> next);
    }

    private static boolean isWithoutEffect(Throwable error) {
        return FailureException.carriedBy(error)
                .filter(failure -> WITHOUT_EFFECT.contains(failure.kind()))
                .isPresent();
    }

    private RuntimeException lostAnswer(ServiceRequest request, Throwable last) {
        long waitedMs = (clock.nowNs().getAsLong() - request.arrivedNs()) / NANOS_PER_MS;
        return Failure.of(
                        ErrorKind.CALL_TIMEOUT, "the control hosts for a claim (last: " + reason(last) + ")", waitedMs)
                .asException();
    }

    private static String reason(Throwable error) {
        return String.valueOf(FailureException.causeOf(error).getMessage());
    }

    private long remainingMs(ServiceRequest request) {
        return Math.max(1, (request.deadlineNs() - clock.nowNs().getAsLong()) / NANOS_PER_MS);
    }

    private static String digestOf(ServiceRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((request.method() + "\n" + request.uri() + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private CompletableFuture<Answer> onClaimOutcome(ServiceRequest request, ClaimOnce claim, Outcome outcome) {
        if (outcome instanceof ClaimGranted) {
            request.trace().add(clock.nowNs().getAsLong(), "holds the claim on", claim.key());
            return dispatcher.submit(request).thenCompose(answer -> settle(request, claim, answer));
        }
        openKeys.remove(claim.key());
        return done(answerWithoutClaim(request, outcome));
    }

    private Answer answerWithoutClaim(ServiceRequest request, Outcome outcome) {
        if (outcome instanceof ClaimReplayed replayed) {
            return replay(replayed.answer());
        }
        if (outcome instanceof ClaimInProgress) {
            return refusals.keyInFlight(request.key(), IN_PROGRESS_WAIT_MS, RunState.UNKNOWN);
        }
        if (outcome instanceof ClaimUnknown) {
            return refusals.unknown(Failure.of(ErrorKind.OUTCOME_UNKNOWN));
        }
        if (outcome instanceof Refused refused) {
            return refused.failure().kind() == ErrorKind.KEY_REUSED
                    ? refusals.invalid(refused.failure())
                    : refusals.keyUnchecked(refused.failure().message());
        }
        return refusals.unknown(Failure.of(ErrorKind.INTERNAL, "unexpected outcome of a claim"));
    }

    private static Answer replay(RecordedAnswer recorded) {
        List<Header> headers = recorded.contentType().isEmpty()
                ? List.of()
                : List.of(new Header(Headers.CONTENT_TYPE, recorded.contentType()));
        return new Answer(
                RunState.DONE, recorded.status(), headers, recorded.body(), Optional.empty(), Optional.empty());
    }

    // Claims that failed without an outcome

    private CompletableFuture<Answer> onClaimFailed(ServiceRequest request, ClaimOnce claim, Throwable error) {
        if (isWithoutEffect(error)) {
            openKeys.remove(claim.key());
            return done(refusals.keyUnchecked(reason(error)));
        }
        Failure lost = FailureException.carriedBy(error)
                .orElseGet(() -> Failure.of(ErrorKind.CALL_TIMEOUT, "the control hosts", remainingMs(request)));
        request.trace().add(clock.nowNs().getAsLong(), "the claim's answer was lost:", lost.message());
        return settler.settle(release(claim))
                .whenComplete((outcome, failure) -> openKeys.remove(claim.key()))
                .copy()
                .orTimeout(RELEASE_WAIT_MS, TimeUnit.MILLISECONDS)
                .handle((outcome, failure) -> outcome instanceof Done
                        ? refusals.notRun("its claim could not be confirmed and was released")
                        : refusals.unknown(lost));
    }

    // Settling

    private CompletableFuture<Answer> settle(ServiceRequest request, ClaimOnce claim, Answer answer) {
        Command command =
                switch (answer.run()) {
                    case DONE -> record(claim.key(), Optional.of(recorded(answer)));
                    case UNKNOWN -> record(claim.key(), Optional.empty());
                    case NOT_RUN -> release(claim);
                };
        long waitMs = answer.run() == RunState.DONE ? remainingMs(request) : RELEASE_WAIT_MS;
        CompletableFuture<Outcome> settled =
                settler.settle(command).whenComplete((outcome, failure) -> openKeys.remove(claim.key()));
        if (answer.run() == RunState.UNKNOWN) {
            return done(answer);
        }
        return settled.copy().orTimeout(waitMs, TimeUnit.MILLISECONDS).handle((outcome, failure) -> answer);
    }

    private Command record(String key, Optional<RecordedAnswer> answer) {
        return new RecordOutcome(key, settings.entry(), settings.incarnation(), answer);
    }

    private static Command release(ClaimOnce claim) {
        return new ReleaseClaim(claim.key(), claim.entry(), claim.incarnation(), claim.claimNumber());
    }

    private static RecordedAnswer recorded(Answer answer) {
        return RecordedAnswer.of(answer.status(), Headers.find(answer.headers(), Headers.CONTENT_TYPE), answer.body());
    }

    private static CompletableFuture<Answer> done(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
