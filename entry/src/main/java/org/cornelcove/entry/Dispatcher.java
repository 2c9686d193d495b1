package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.admission.Verdict;
import org.cornelcove.policy.learn.RunTimes;

/**
 * Dispatches requests to targets.
 *
 * <p>A request starts immediately when no request is queued and a target has a free slot. Otherwise it is forwarded
 * once to another entry that may have one; failing that, it is offered to the queue of its service, which admits or
 * refuses it; see {@link ServiceLine}. Every released slot and every change of the view starts queued requests. A
 * request whose deadline passes is answered at that moment: not run if it was still queued or no byte had been sent,
 * unknown otherwise.
 *
 * <p>An attempt is retried only if it is proved not run, on another target if there is one, within the retry budget of
 * its service and class. Idempotency keys are handled before a request is submitted here.
 */
final class Dispatcher {
    private static final double NANOS_PER_MS = 1_000_000;
    private static final int SERVER_ERROR = 500;
    private static final int DEFAULT_WEIGHT = 1;

    private final EntrySettings settings;
    private final EntryClock clock;
    private final Supplier<EntryView> view;
    private final TargetClient client;
    private final PeerForwarder peers;
    private final DeadlineWheel deadlines;
    private final EntryMetrics metrics;
    private final Refusals refusals;
    private final RunTimes runTimes = RunTimes.create();
    private final ConcurrentMap<String, ServiceLine> lines = new ConcurrentHashMap<>();
    private final long silenceNs;

    Dispatcher(Parts parts) {
        settings = parts.settings();
        clock = parts.clock();
        view = parts.view();
        client = parts.client();
        peers = parts.peers();
        deadlines = parts.deadlines();
        metrics = parts.metrics();
        refusals = parts.refusals();
        silenceNs = (long) (settings.targetSilenceMs() * NANOS_PER_MS);
    }

    /**
     * The collaborators of the dispatcher.
     *
     * @param settings the entry's settings
     * @param clock the clocks
     * @param view supplies the current view
     * @param client the client towards targets
     * @param peers forwards requests to other entries
     * @param deadlines the timers
     * @param metrics the counters and histograms
     * @param refusals creates the answers of the entry itself
     */
    record Parts(
            EntrySettings settings,
            EntryClock clock,
            Supplier<EntryView> view,
            TargetClient client,
            PeerForwarder peers,
            DeadlineWheel deadlines,
            EntryMetrics metrics,
            Refusals refusals) {}

    /** Runs a request on a target; the future completes with the answer and never exceptionally. */
    CompletableFuture<Answer> submit(ServiceRequest request) {
        EntryView now = view.get();
        if (!now.isLeased(nowNs())) {
            metrics.fenced.inc();
            return CompletableFuture.completedFuture(refusals.notReady("its lease has lapsed"));
        }
        if (request.deadlineNs() - nowNs() <= 0) {
            return CompletableFuture.completedFuture(refusals.notRun("its deadline passed before it could start"));
        }
        Run run = new Run(request);
        run.setDeadlineTimer(deadlines.at(request.deadlineNs(), () -> expire(run)));
        ServiceLine line = lineOf(request);
        if (!tryStart(run, line, now)) {
            overflow(run, line, now);
        }
        return run.answer();
    }

    /** Forwards a request to the only entry that may run it; the future completes by the deadline at the latest. */
    CompletableFuture<Answer> forwardOnly(ServiceRequest request, PeerEntry peer) {
        Run run = new Run(request);
        run.start(nowNs());
        run.setDeadlineTimer(deadlines.at(request.deadlineNs(), () -> expire(run)));
        metrics.forwarded.inc();
        peers.forward(request, peer, false, true).thenAccept(run::endStarted);
        return run.answer();
    }

    private ServiceLine lineOf(ServiceRequest request) {
        ServiceLine line = lines.get(request.service().name());
        return line != null ? line : lines.computeIfAbsent(request.service().name(), name -> openLine(request));
    }

    private ServiceLine openLine(ServiceRequest request) {
        return new ServiceLine(
                request.service(),
                tenant -> view.get().rules().tenants().getOrDefault(tenant, defaultRule(tenant, request)),
                runTimes,
                settings,
                nowNs());
    }

    private static TenantRule defaultRule(String tenant, ServiceRequest request) {
        return new TenantRule(tenant, DEFAULT_WEIGHT, request.service().maxQueued());
    }

    // Starting

    private boolean tryStart(Run run, ServiceLine line, EntryView now) {
        Optional<ServiceLine.Start> start = line.startNow(run, now.targetsOf(line.service()), nowNs());
        start.ifPresent(one -> dispatch(one, line));
        return start.isPresent();
    }

    private void dispatch(ServiceLine.Start start, ServiceLine line) {
        Run run = start.run();
        OwnedTarget target = start.target();
        long now = nowNs();
        if (!run.start(now)) {
            finish(start, line, ServiceLine.End.NOT_SENT, now);
            return;
        }
        ServiceRequest request = run.request();
        if (run.attempts() == 0) {
            line.retries(request.requestClass()).noteFirstSend();
            metrics.admitted.inc();
            metrics.queueing(request.tenant(), request.requestClass(), now - request.arrivedNs());
        }
        request.trace().add(now, "sent to target", target.id());
        TargetCall call = new TargetCall(
                request, headersFor(request, target, now), settings.maxAnswerBytes(), new AttemptListener(start, line));
        run.startAttempt(call);
        if (run.hasEnded()) {
            call.abort("its deadline passed");
        } else {
            client.send(target.connections(), call);
        }
    }

    /** Ends a start; the returned future completes once the run is finished at the target. */
    private CompletableFuture<Void> finish(ServiceLine.Start start, ServiceLine line, ServiceLine.End end, long now) {
        ServiceLine.Ended ended = line.finished(start, end, view.get().targetsOf(line.service()), now);
        if (ended.ejected()) {
            metrics.ejected.inc();
        }
        return ended.runFinished();
    }

    private List<Header> headersFor(ServiceRequest request, OwnedTarget target, long now) {
        long remainingMs = (long) ((request.deadlineNs() - now) / NANOS_PER_MS);
        long notAfter = clock.unixMs().getAsLong() + remainingMs;
        return List.of(
                new Header(Headers.REQUEST_ID, request.id()),
                new Header(Headers.EPOCH, Long.toString(target.epoch())),
                new Header(Headers.NOT_AFTER, Long.toString(notAfter)));
    }

    // Overflow

    private void overflow(Run run, ServiceLine line, EntryView now) {
        boolean hasOwnTargets = hasUsableTargets(line.service(), now);
        if (!run.request().isForwarded()) {
            Optional<PeerEntry> peer = peers.peerFor(run.request().service().name(), now.peers(), !hasOwnTargets);
            if (peer.isPresent() && run.start(nowNs())) {
                forward(run, line, peer.get(), hasOwnTargets);
                // The failed start held a slot for a moment, during which another request may have found none free.
                pump(line);
                return;
            }
        }
        enqueue(run, line, now, hasOwnTargets);
    }

    private boolean hasUsableTargets(String service, EntryView now) {
        long nowNs = nowNs();
        for (OwnedTarget target : now.targetsOf(service)) {
            if (target.isAvailable(nowNs, silenceNs)) {
                return true;
            }
        }
        return false;
    }

    private void forward(Run run, ServiceLine line, PeerEntry peer, boolean hasOwnTargets) {
        ServiceRequest request = run.request();
        metrics.forwarded.inc();
        request.trace().add(nowNs(), "forwarded to entry", peer.entry());
        peers.forward(request, peer, true, !hasOwnTargets).thenAccept(answer -> {
            request.trace().add(nowNs(), "entry answered", answer.run());
            if (answer.run() == RunState.NOT_RUN && hasOwnTargets && run.requeue(null)) {
                enqueue(run, line, view.get(), true);
            } else if (isLostSafeRequest(request, answer)
                    && line.mayRetry(run, nowNs())
                    && run.requeueAfterLostAnswer()) {
                metrics.retried.inc();
                enqueue(run, line, view.get(), hasUsableTargets(line.service(), view.get()));
            } else {
                run.endStarted(answer);
            }
        });
    }

    /** Whether an entry took a request and gave no answer of it, which may run again since it is safe. */
    private static boolean isLostSafeRequest(ServiceRequest request, Answer answer) {
        return answer.run() == RunState.UNKNOWN && request.requestClass() == RequestClass.SAFE;
    }

    private void enqueue(Run run, ServiceLine line, EntryView now, boolean hasOwnTargets) {
        ServiceRequest request = run.request();
        if (!hasOwnTargets) {
            run.endWaiting(refusals.noTarget(request.service().name()));
            return;
        }
        ServiceLine.Offered offered = request.origin() == ServiceRequest.Origin.PEER_START_NOW
                ? new ServiceLine.Offered(Verdict.refused(ErrorKind.QUEUE_FULL, 0, 0), Optional.empty())
                : line.offer(run, now.targetsOf(line.service()), nowNs());
        if (offered.verdict().isAdmitted()) {
            request.trace().add(nowNs(), "waits in the queue of", line.service());
        } else {
            run.endWaiting(refusals.refused(offered.verdict(), line.service()));
        }
        offered.next().ifPresent(start -> dispatch(start, line));
        pump(line);
    }

    // Waiting

    /** Starts or refuses queued requests after a change of the view. */
    void pumpAll() {
        lines.values().forEach(this::pump);
    }

    private void pump(ServiceLine line) {
        boolean more = line.hasWork();
        while (more) {
            EntryView now = view.get();
            if (!now.isLeased(nowNs())) {
                refuseAll(line);
                return;
            }
            Optional<ServiceLine.Start> next = line.startNext(now.targetsOf(line.service()), nowNs());
            for (Run expired : line.takeExpired(nowNs())) {
                expired.endWaiting(refusals.notRun("it could no longer be answered before its deadline"));
            }
            next.ifPresent(start -> dispatch(start, line));
            more = next.isPresent() && line.hasWork();
            if (next.isEmpty() && line.hasWork()) {
                reassignQueued(line, now);
            }
        }
    }

    /** Forwards or refuses as not run all queued requests if no target of the service is usable any more. */
    private void reassignQueued(ServiceLine line, EntryView now) {
        if (!hasUsableTargets(line.service(), now)) {
            for (Run run : line.takeAll()) {
                overflow(run, line, now);
            }
        }
    }

    private void refuseAll(ServiceLine line) {
        for (Run run : line.takeAll()) {
            metrics.fenced.inc();
            run.endWaiting(refusals.notReady("its lease has lapsed"));
        }
    }

    private void expire(Run run) {
        lineOf(run.request()).cancel(run);
        if (run.endWaiting(refusals.notRun("its deadline passed while it was queued"))) {
            return;
        }
        run.call().ifPresent(call -> call.abort("its deadline passed"));
        run.endStarted(refusals.unknown(Failure.of(ErrorKind.DEADLINE_PASSED)));
        // A call created concurrently either sees that the run has ended or is aborted here.
        run.call().ifPresent(call -> call.abort("its deadline passed"));
    }

    private long nowNs() {
        return clock.nowNs().getAsLong();
    }

    // Endings

    /** Handles the end of an attempt at a target. */
    private final class AttemptListener implements TargetCallListener {
        private final ServiceLine.Start start;
        private final Run run;
        private final ServiceLine line;
        private final OwnedTarget target;

        private AttemptListener(ServiceLine.Start start, ServiceLine line) {
            this.start = start;
            this.line = line;
            run = start.run();
            target = start.target();
        }

        @Override
        public void onAnswer(TargetAnswer answer) {
            long now = nowNs();
            finish(start, line, endOf(answer), now);
            if (answer.refusedBeforeRun()) {
                retryOrEnd("target " + target.id() + " refused it", now);
            } else {
                complete(answer, now);
            }
            pump(line);
        }

        private ServiceLine.End endOf(TargetAnswer answer) {
            if (answer.refusedBeforeRun()) {
                return ServiceLine.End.REFUSED;
            }
            return answer.status() >= SERVER_ERROR ? ServiceLine.End.RAN_AND_FAILED : ServiceLine.End.RAN;
        }

        private void complete(TargetAnswer answer, long now) {
            ServiceRequest request = run.request();
            metrics.running(request.tenant(), request.requestClass(), now - run.startedNs());
            request.trace().add(now, "answered by target", target.id());
            run.endStarted(answerOf(answer, target.id()));
        }

        private Answer answerOf(TargetAnswer answer, TargetId from) {
            List<Header> headers = new ArrayList<>(answer.headers().size() + 2);
            headers.addAll(answer.headers());
            headers.add(new Header(Headers.TARGET, from.value()));
            headers.add(new Header(Headers.ENTRY, settings.entry().value()));
            return new Answer(
                    RunState.DONE, answer.status(), headers, answer.body(), Optional.empty(), Optional.empty());
        }

        @Override
        public void onNotWritten(String why, boolean targetAtFault) {
            long now = nowNs();
            finish(start, line, targetAtFault ? ServiceLine.End.REFUSED : ServiceLine.End.NOT_SENT, now);
            retryOrEnd("target " + target.id() + ": " + why, now);
            pump(line);
        }

        @Override
        public void onUnknown(String why, boolean targetAtFault) {
            long now = nowNs();
            CompletableFuture<Void> runFinished =
                    finish(start, line, targetAtFault ? ServiceLine.End.BROKEN : ServiceLine.End.SILENT, now);
            metrics.unknown.inc();
            run.request().trace().add(now, "outcome unknown, target " + target.id(), why);
            ErrorKind kind = targetAtFault ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.DEADLINE_PASSED;
            run.endStarted(refusals.unknown(Failure.of(kind)).withRunFinished(runFinished));
            pump(line);
        }

        private void retryOrEnd(String why, long now) {
            ServiceRequest request = run.request();
            request.trace().add(now, "not run,", why);
            if (line.mayRetry(run, now) && run.requeue(target)) {
                metrics.retried.inc();
                retry();
            } else {
                run.endStarted(refusals.notRun(why));
            }
        }

        private void retry() {
            EntryView now = view.get();
            if (!now.isLeased(nowNs())) {
                run.endWaiting(refusals.notReady("its lease has lapsed"));
            } else if (!tryStart(run, line, now)) {
                enqueue(run, line, now, hasUsableTargets(line.service(), now));
            }
        }
    }
}
