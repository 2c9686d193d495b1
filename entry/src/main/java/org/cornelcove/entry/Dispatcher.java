package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.TenantRule;

/**
 * Brings requests to targets.
 *
 * <p>A request starts at once when nothing waits and a target has a free slot. Otherwise another entry that may have one
 * is asked once; otherwise the request waits, if the admission rule lets it. Every slot given back, and every change of
 * the view, starts what waits. A request whose deadline passes is answered at that moment: not run if it still waited or
 * no byte had left, unknown otherwise.
 *
 * <p>Only an attempt that is proved not run is tried again, on another target if there is one, within the retry budget
 * of its class. Nothing here knows of idempotency keys; those are settled before a request comes here.
 */
final class Dispatcher {
    private static final double NANOS_PER_MS = 1_000_000;
    private static final int MAX_ATTEMPTS = 3;
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
    private final OpenTargets targets;
    private final AdmissionRule admission = AdmissionRule.PREDICTED_WAIT;
    private final RunTimes runTimes = new RunTimes();
    private final RetryBudget[] retryBudgets = new RetryBudget[RequestClass.values().length];
    private final ConcurrentMap<String, ServiceLine> lines = new ConcurrentHashMap<>();
    private final AtomicLong runNumbers = new AtomicLong();

    Dispatcher(Parts parts) {
        settings = parts.settings();
        clock = parts.clock();
        view = parts.view();
        client = parts.client();
        peers = parts.peers();
        deadlines = parts.deadlines();
        metrics = parts.metrics();
        refusals = parts.refusals();
        targets = new OpenTargets(settings, clock, TargetChoice.LEAST_LOADED);
        for (int i = 0; i < retryBudgets.length; i++) {
            retryBudgets[i] = new RetryBudget();
        }
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
        Run run = newRun(request);
        retryBudgets[request.requestClass().ordinal()].earn();
        run.watch(deadlines.at(request.deadlineNs(), () -> expire(run)));
        ServiceLine line = lineOf(request.service().name());
        if (line.queue().size() > 0 || !tryStart(run, line, now)) {
            overflow(run, line, now);
        }
        return run.answer();
    }

    /** Hands a request to the one entry that may run it; the answer comes by the deadline at the latest. */
    CompletableFuture<Answer> forwardOnly(ServiceRequest request, PeerEntry peer) {
        Run run = newRun(request);
        run.start(nowNs());
        run.watch(deadlines.at(request.deadlineNs(), () -> expire(run)));
        metrics.forwarded.inc();
        peers.forward(request, peer, false, true).thenAccept(run::endStarted);
        return run.answer();
    }

    private Run newRun(ServiceRequest request) {
        long expectedNs = runTimes.expectedNs(request.workKind());
        boolean longWork = expectedNs / NANOS_PER_MS > request.service().shortRunMs();
        return new Run(request, runNumbers.incrementAndGet(), expectedNs, longWork);
    }

    private ServiceLine lineOf(String service) {
        ServiceLine line = lines.get(service);
        return line != null ? line : lines.computeIfAbsent(service, name -> new ServiceLine());
    }

    // Starting

    private boolean tryStart(Run run, ServiceLine line, EntryView now) {
        if (!line.takeLongSlot(run, longSlots(run, now))) {
            return false;
        }
        Optional<OwnedTarget> target = targets.takeSlot(run, now);
        if (target.isEmpty()) {
            line.giveLongSlot(run);
            return false;
        }
        dispatch(run, line, target.get());
        return true;
    }

    private int longSlots(Run run, EntryView now) {
        return targets.longSlots(run.request().service(), now);
    }

    private void dispatch(Run run, ServiceLine line, OwnedTarget target) {
        long now = nowNs();
        if (!run.start(now)) {
            target.slots().release();
            line.giveLongSlot(run);
            return;
        }
        line.started(run);
        ServiceRequest request = run.request();
        if (run.attempts() == 0) {
            metrics.admitted.inc();
            metrics.queueing(request.tenant(), request.requestClass(), now - request.arrivedNs());
        }
        request.trace().add(now, "sent to target", target.id());
        TargetCall call = new TargetCall(
                request, headersFor(request, target, now), settings.maxAnswerBytes(), new Ending(run, line, target));
        run.calling(call);
        if (run.hasEnded()) {
            call.giveUp("its deadline passed");
        } else {
            client.send(target.connections(), call);
        }
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
        boolean own = targets.anyUsable(run.request(), now);
        if (!run.request().isForwarded()) {
            Optional<PeerEntry> peer = peers.peerFor(run.request().service().name(), now.peers(), !own);
            if (peer.isPresent() && run.start(nowNs())) {
                forward(run, line, peer.get(), own);
                return;
            }
        }
        enqueue(run, line, now, own);
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
        Optional<AdmissionRule.Refusal> refusal = request.origin() == ServiceRequest.Origin.PEER_START_NOW
                ? Optional.of(new AdmissionRule.Refusal(ErrorKind.QUEUE_FULL, 0))
                : addToQueue(run, line, now);
        if (refusal.isPresent()) {
            run.endWaiting(refusals.refused(refusal.get(), request.service().name()));
            return;
        }
        request.trace().add(nowNs(), "waits in the queue of", request.service().name());
        pump(line);
    }

    private Optional<AdmissionRule.Refusal> addToQueue(Run run, ServiceLine line, EntryView now) {
        TenantRule tenant = tenantRule(run.request(), now);
        synchronized (line) {
            Optional<AdmissionRule.Refusal> refusal = admission.refuse(situation(run, line, tenant, now));
            if (refusal.isEmpty() && !run.hasEnded()) {
                line.queue().add(run, tenant.weight());
            }
            return refusal;
        }
    }

    private static TenantRule tenantRule(ServiceRequest request, EntryView now) {
        TenantRule rule = now.rules().tenants().get(request.tenant());
        return rule != null
                ? rule
                : new TenantRule(
                        request.tenant(), DEFAULT_WEIGHT, request.service().maxQueued());
    }

    private AdmissionRule.Situation situation(Run run, ServiceLine line, TenantRule tenant, EntryView now) {
        ServiceRequest request = run.request();
        return new AdmissionRule.Situation(
                line.queue().size(),
                request.service().maxQueued(),
                line.queue().size(request.tenant()),
                tenant.maxQueued(),
                targets.slotsFor(run, now),
                line.aheadMs(),
                run.expectedNs() / NANOS_PER_MS,
                (request.deadlineNs() - nowNs()) / NANOS_PER_MS);
    }

    // Waiting

    /** Starts or refuses what waits, after a change of the view. */
    void pumpAll() {
        lines.values().forEach(this::pump);
    }

    private void pump(ServiceLine line) {
        while (line.queue().size() > 0) {
            EntryView now = view.get();
            if (!now.isLeased(nowNs())) {
                refuseAll(line);
                return;
            }
            if (!startNext(line, now)) {
                handOn(line, now);
                return;
            }
        }
    }

    /** Passes on what waits for targets that are all gone: to another entry, or back to the caller as not run. */
    private void handOn(ServiceLine line, EntryView now) {
        Optional<Run> first;
        synchronized (line) {
            first = line.queue().next(true);
        }
        if (first.isEmpty() || targets.anyUsable(first.get().request(), now)) {
            return;
        }
        for (Run run : line.takeAll()) {
            overflow(run, line, now);
        }
    }

    private boolean startNext(ServiceLine line, EntryView now) {
        Run run;
        Optional<OwnedTarget> target;
        synchronized (line) {
            Optional<Run> next = nextWithSlot(line, now);
            if (next.isEmpty()) {
                return false;
            }
            run = next.get();
            target = targets.takeSlot(run, now);
            if (target.isEmpty()) {
                line.giveLongSlot(run);
                return false;
            }
            line.queue().take(run);
        }
        dispatch(run, line, target.get());
        return true;
    }

    /** Returns what is next; for long work its share of the slots is taken already. */
    private Optional<Run> nextWithSlot(ServiceLine line, EntryView now) {
        Optional<Run> next = line.queue().next(true);
        if (next.isEmpty() || line.takeLongSlot(next.get(), longSlots(next.get(), now))) {
            return next;
        }
        return line.queue().next(false);
    }

    private void refuseAll(ServiceLine line) {
        for (Run run : line.takeAll()) {
            metrics.fenced.inc();
            run.endWaiting(refusals.notReady("its lease has lapsed"));
        }
    }

    private void expire(Run run) {
        ServiceLine line = lineOf(run.request().service().name());
        synchronized (line) {
            line.queue().remove(run);
        }
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
        private final Run run;
        private final ServiceLine line;
        private final OwnedTarget target;

        private Ending(Run run, ServiceLine line, OwnedTarget target) {
            this.run = run;
            this.line = line;
            this.target = target;
        }

        @Override
        public void onAnswer(TargetAnswer answer) {
            long now = nowNs();
            target.slots().release();
            noteHealth(answer.status() >= SERVER_ERROR, now);
            leave();
            if (answer.refusedUnrun()) {
                notRun("target " + target.id() + " refused it", now);
            } else {
                whole(answer, now);
            }
            pump(line);
        }

        private void whole(TargetAnswer answer, long now) {
            ServiceRequest request = run.request();
            runTimes.record(request.workKind(), now - run.startedNs());
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
            target.slots().release();
            if (targetAtFault) {
                noteHealth(true, now);
            }
            leave();
            notRun("target " + target.id() + ": " + why, now);
            pump(line);
        }

        @Override
        public void onUnknown(String why, boolean targetAtFault) {
            long now = nowNs();
            CompletableFuture<Void> over = target.slots().abandon();
            if (targetAtFault) {
                noteHealth(true, now);
            }
            leave();
            metrics.unknown.inc();
            run.request().trace().add(now, "outcome unknown, target " + target.id(), why);
            ErrorKind kind = targetAtFault ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.DEADLINE_PASSED;
            run.endStarted(refusals.unknown(Failure.of(kind)).overWhen(over));
            pump(line);
        }

        private void leave() {
            line.ended(run);
        }

        private void noteHealth(boolean failed, long now) {
            if (!failed) {
                target.health().succeeded();
            } else if (target.health().failed(now)) {
                metrics.ejected.inc();
            }
        }

        private void notRun(String why, long now) {
            ServiceRequest request = run.request();
            request.trace().add(now, "not run,", why);
            boolean again = run.attempts() < MAX_ATTEMPTS
                    && now - request.deadlineNs() < 0
                    && retryBudgets[request.requestClass().ordinal()].trySpend();
            if (again && run.waitAgain(target)) {
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
                enqueue(run, line, now, targets.anyUsable(run.request(), now));
            }
        }
    }
}
