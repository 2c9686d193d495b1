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
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.admission.Verdict;
import org.cornelcove.policy.learn.RunTimes;

/**
 * Brings requests to targets.
 *
 * <p>A request starts at once when nothing waits and a target has a free slot. Otherwise another entry that may have one
 * is asked once; otherwise the request is offered to the queue of its service, which admits or refuses it; see
 * {@link ServiceLine}. Every slot given back, and every change of the view, starts what waits. A request whose deadline passes is answered at that moment: not run if it still waited or
 * no byte had left, unknown otherwise.
 *
 * <p>Only an attempt that is proved not run is tried again, on another target if there is one, within the retry budget
 * of its service and class. Nothing here knows of idempotency keys; those are settled before a request comes here.
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
     * What the dispatcher works with.
     *
     * @param settings the entry's settings
     * @param clock the clocks
     * @param view the newest view
     * @param client the client towards targets
     * @param peers the way to other entries
     * @param deadlines the timers
     * @param metrics what is counted
     * @param refusals makes the system's own answers
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

    /** Brings a request to a target; the future completes with the answer, never with an error. */
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
        run.watch(deadlines.at(request.deadlineNs(), () -> expire(run)));
        ServiceLine line = lineOf(request);
        if (!tryStart(run, line, now)) {
            overflow(run, line, now);
        }
        return run.answer();
    }

    /** Hands a request to the one entry that may run it; the answer comes by the deadline at the latest. */
    CompletableFuture<Answer> forwardOnly(ServiceRequest request, PeerEntry peer) {
        Run run = new Run(request);
        run.start(nowNs());
        run.watch(deadlines.at(request.deadlineNs(), () -> expire(run)));
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
                request, headersFor(request, target, now), settings.maxAnswerBytes(), new Ending(start, line));
        run.calling(call);
        if (run.hasEnded()) {
            call.giveUp("its deadline passed");
        } else {
            client.send(target.connections(), call);
        }
    }

    /** Ends a start; returns the news of when nothing of it goes on at the target. */
    private CompletableFuture<Void> finish(ServiceLine.Start start, ServiceLine line, ServiceLine.End end, long now) {
        ServiceLine.Ended ended = line.finished(start, end, view.get().targetsOf(line.service()), now);
        if (ended.ejected()) {
            metrics.ejected.inc();
        }
        return ended.over();
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
        boolean own = hasUsableTargets(line.service(), now);
        if (!run.request().isForwarded()) {
            Optional<PeerEntry> peer = peers.peerFor(run.request().service().name(), now.peers(), !own);
            if (peer.isPresent() && run.start(nowNs())) {
                forward(run, line, peer.get(), own);
                // The attempt to start it held a slot for a moment, in which another one may have found none.
                pump(line);
                return;
            }
        }
        enqueue(run, line, now, own);
    }

    private boolean hasUsableTargets(String service, EntryView now) {
        long nowNs = nowNs();
        for (OwnedTarget target : now.targetsOf(service)) {
            if (target.mayOpen(nowNs, silenceNs)) {
                return true;
            }
        }
        return false;
    }

    private void forward(Run run, ServiceLine line, PeerEntry peer, boolean own) {
        ServiceRequest request = run.request();
        metrics.forwarded.inc();
        request.trace().add(nowNs(), "forwarded to entry", peer.entry());
        peers.forward(request, peer, true, !own).thenAccept(answer -> {
            request.trace().add(nowNs(), "entry answered", answer.run());
            if (answer.run() == RunState.NOT_RUN && own && run.waitAgain(null)) {
                enqueue(run, line, view.get(), true);
            } else {
                run.endStarted(answer);
            }
        });
    }

    private void enqueue(Run run, ServiceLine line, EntryView now, boolean own) {
        ServiceRequest request = run.request();
        if (!own) {
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

    /** Starts or refuses what waits, after a change of the view. */
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
            for (Run late : line.takeExpired(nowNs())) {
                late.endWaiting(refusals.notRun("it could no longer be answered in time"));
            }
            next.ifPresent(start -> dispatch(start, line));
            more = next.isPresent() && line.hasWork();
            if (next.isEmpty() && line.hasWork()) {
                handOn(line, now);
            }
        }
    }

    /** Passes on what waits for targets that are all gone: to another entry, or back to the caller as not run. */
    private void handOn(ServiceLine line, EntryView now) {
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
        if (run.endWaiting(refusals.notRun("its deadline passed while it waited"))) {
            return;
        }
        run.call().ifPresent(call -> call.giveUp("its deadline passed"));
        run.endStarted(refusals.unknown(Failure.of(ErrorKind.DEADLINE_PASSED)));
        // A call that came up in between sees the ended run, or is seen here.
        run.call().ifPresent(call -> call.giveUp("its deadline passed"));
    }

    private long nowNs() {
        return clock.nowNs().getAsLong();
    }

    // Endings

    /** Hears how an attempt at a target ended. */
    private final class Ending implements TargetCallListener {
        private final ServiceLine.Start start;
        private final Run run;
        private final ServiceLine line;
        private final OwnedTarget target;

        private Ending(ServiceLine.Start start, ServiceLine line) {
            this.start = start;
            this.line = line;
            run = start.run();
            target = start.target();
        }

        @Override
        public void onAnswer(TargetAnswer answer) {
            long now = nowNs();
            finish(start, line, endOf(answer), now);
            if (answer.refusedUnrun()) {
                notRun("target " + target.id() + " refused it", now);
            } else {
                whole(answer, now);
            }
            pump(line);
        }

        private ServiceLine.End endOf(TargetAnswer answer) {
            if (answer.refusedUnrun()) {
                return ServiceLine.End.REFUSED;
            }
            return answer.status() >= SERVER_ERROR ? ServiceLine.End.RAN_AND_FAILED : ServiceLine.End.RAN;
        }

        private void whole(TargetAnswer answer, long now) {
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
            notRun("target " + target.id() + ": " + why, now);
            pump(line);
        }

        @Override
        public void onUnknown(String why, boolean targetAtFault) {
            long now = nowNs();
            CompletableFuture<Void> over =
                    finish(start, line, targetAtFault ? ServiceLine.End.BROKEN : ServiceLine.End.SILENT, now);
            metrics.unknown.inc();
            run.request().trace().add(now, "outcome unknown, target " + target.id(), why);
            ErrorKind kind = targetAtFault ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.DEADLINE_PASSED;
            run.endStarted(refusals.unknown(Failure.of(kind)).overWhen(over));
            pump(line);
        }

        private void notRun(String why, long now) {
            ServiceRequest request = run.request();
            request.trace().add(now, "not run,", why);
            if (line.mayRetry(run, now) && run.waitAgain(target)) {
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
