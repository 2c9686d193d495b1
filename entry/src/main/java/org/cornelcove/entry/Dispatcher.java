package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
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
    private static final int PERCENT = 100;
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
    private final TargetChoice choice = TargetChoice.LEAST_LOADED;
    private final AdmissionRule admission = AdmissionRule.PREDICTED_WAIT;
    private final RunTimes runTimes = new RunTimes();
    private final RetryBudget[] retryBudgets = new RetryBudget[RequestClass.values().length];
    private final ConcurrentMap<String, Waiting> waiting = new ConcurrentHashMap<>();
    private final AtomicLong runNumbers = new AtomicLong();

    /** What a service has waiting, and how many slots its long work takes. */
    private static final class Waiting {
        private final ServiceQueue queue = new ServiceQueue();
        private final AtomicInteger longActive = new AtomicInteger();
        private final AtomicLong activeExpectedNs = new AtomicLong();
    }

    Dispatcher(Parts parts) {
        settings = parts.settings();
        clock = parts.clock();
        view = parts.view();
        client = parts.client();
        peers = parts.peers();
        deadlines = parts.deadlines();
        metrics = parts.metrics();
        refusals = parts.refusals();
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
        Waiting line = waitingFor(request.service().name());
        if (line.queue.size() > 0 || !tryStart(run, line, now)) {
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

    private Waiting waitingFor(String service) {
        Waiting line = waiting.get(service);
        return line != null ? line : waiting.computeIfAbsent(service, name -> new Waiting());
    }

    // Starting

    private boolean tryStart(Run run, Waiting line, EntryView now) {
        if (run.isLong() && !takeLongSlot(run.request().service(), line, now)) {
            return false;
        }
        Optional<OwnedTarget> target = takeSlot(run, now);
        if (target.isEmpty()) {
            giveLongSlot(run, line);
            return false;
        }
        dispatch(run, line, target.get());
        return true;
    }

    private boolean takeLongSlot(ServiceRule service, Waiting line, EntryView now) {
        int most = longSlots(service, now);
        while (true) {
            int taken = line.longActive.get();
            if (taken >= most) {
                return false;
            }
            if (line.longActive.compareAndSet(taken, taken + 1)) {
                return true;
            }
        }
    }

    private static void giveLongSlot(Run run, Waiting line) {
        if (run.isLong()) {
            line.longActive.decrementAndGet();
        }
    }

    private int longSlots(ServiceRule service, EntryView now) {
        int all = 0;
        for (OwnedTarget target : now.targetsOf(service.name())) {
            all += target.slots().total();
        }
        int kept = (all * service.shortSlotsPercent() + PERCENT - 1) / PERCENT;
        return Math.max(Math.min(1, all), all - kept);
    }

    private Optional<OwnedTarget> takeSlot(Run run, EntryView now) {
        List<OwnedTarget> open = openTargets(run, now);
        while (true) {
            Optional<OwnedTarget> target = choice.choose(open, settings.availabilityZone());
            if (target.isEmpty() || target.get().slots().tryTake()) {
                return target;
            }
        }
    }

    private List<OwnedTarget> openTargets(Run run, EntryView now) {
        List<OwnedTarget> owned = now.targetsOf(run.request().service().name());
        long silenceNs = (long) (settings.targetSilenceMs() * NANOS_PER_MS);
        long nowNs = nowNs();
        List<OwnedTarget> open = new ArrayList<>(owned.size());
        for (OwnedTarget target : owned) {
            if (target.isOpen(nowNs, silenceNs)) {
                open.add(target);
            }
        }
        if (open.size() > 1) {
            run.lastFailed().ifPresent(open::remove);
        }
        return open;
    }

    private void dispatch(Run run, Waiting line, OwnedTarget target) {
        long now = nowNs();
        if (!run.start(now)) {
            target.slots().release();
            giveLongSlot(run, line);
            return;
        }
        line.activeExpectedNs.addAndGet(run.expectedNs());
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

    private void overflow(Run run, Waiting line, EntryView now) {
        boolean own = hasUsableTargets(run.request(), now);
        if (!run.request().isForwarded()) {
            Optional<PeerEntry> peer = peers.peerFor(run.request().service().name(), now.peers(), !own);
            if (peer.isPresent() && run.start(nowNs())) {
                forward(run, line, peer.get(), own);
                return;
            }
        }
        enqueue(run, line, now, own);
    }

    private boolean hasUsableTargets(ServiceRequest request, EntryView now) {
        long silenceNs = (long) (settings.targetSilenceMs() * NANOS_PER_MS);
        long nowNs = nowNs();
        for (OwnedTarget target : now.targetsOf(request.service().name())) {
            if (target.mayOpen(nowNs, silenceNs)) {
                return true;
            }
        }
        return false;
    }

    private void forward(Run run, Waiting line, PeerEntry peer, boolean own) {
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

    private void enqueue(Run run, Waiting line, EntryView now, boolean own) {
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

    private Optional<AdmissionRule.Refusal> addToQueue(Run run, Waiting line, EntryView now) {
        TenantRule tenant = tenantRule(run.request(), now);
        synchronized (line) {
            Optional<AdmissionRule.Refusal> refusal = admission.refuse(situation(run, line, tenant, now));
            if (refusal.isEmpty() && !run.hasEnded()) {
                line.queue.add(run, tenant.weight());
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

    private AdmissionRule.Situation situation(Run run, Waiting line, TenantRule tenant, EntryView now) {
        ServiceRequest request = run.request();
        int slots = 0;
        for (OwnedTarget target : now.targetsOf(request.service().name())) {
            slots += Math.max(0, target.slots().limit());
        }
        int usable = run.isLong() ? Math.min(slots, longSlots(request.service(), now)) : slots;
        double aheadMs = line.queue.expectedMs() + line.activeExpectedNs.get() / NANOS_PER_MS / 2;
        return new AdmissionRule.Situation(
                line.queue.size(),
                request.service().maxQueued(),
                line.queue.size(request.tenant()),
                tenant.maxQueued(),
                usable,
                aheadMs,
                run.expectedNs() / NANOS_PER_MS,
                (request.deadlineNs() - nowNs()) / NANOS_PER_MS);
    }

    // Waiting

    /** Starts or refuses what waits, after a change of the view. */
    void pumpAll() {
        waiting.values().forEach(this::pump);
    }

    private void pump(Waiting line) {
        while (line.queue.size() > 0) {
            EntryView now = view.get();
            if (!now.isLeased(nowNs())) {
                refuseAll(line);
                return;
            }
            if (!startNext(line, now)) {
                return;
            }
        }
    }

    private boolean startNext(Waiting line, EntryView now) {
        Run run;
        Optional<OwnedTarget> target;
        synchronized (line) {
            Optional<Run> next = nextWithSlot(line, now);
            if (next.isEmpty()) {
                return false;
            }
            run = next.get();
            target = takeSlot(run, now);
            if (target.isEmpty()) {
                giveLongSlot(run, line);
                return false;
            }
            line.queue.take(run);
        }
        dispatch(run, line, target.get());
        return true;
    }

    /** Returns what is next; for long work its share of the slots is taken already. */
    private Optional<Run> nextWithSlot(Waiting line, EntryView now) {
        Optional<Run> next = line.queue.next(true);
        if (next.isEmpty() || !next.get().isLong()) {
            return next;
        }
        return takeLongSlot(next.get().request().service(), line, now) ? next : line.queue.next(false);
    }

    private void refuseAll(Waiting line) {
        List<Run> refused = new ArrayList<>();
        synchronized (line) {
            for (Optional<Run> next = line.queue.next(true); next.isPresent(); next = line.queue.next(true)) {
                line.queue.remove(next.get());
                refused.add(next.get());
            }
        }
        for (Run run : refused) {
            metrics.fenced.inc();
            run.endWaiting(refusals.notReady("its lease has lapsed"));
        }
    }

    private void expire(Run run) {
        Waiting line = waitingFor(run.request().service().name());
        synchronized (line) {
            line.queue.remove(run);
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
        private final Waiting line;
        private final OwnedTarget target;

        private Ending(Run run, Waiting line, OwnedTarget target) {
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
            line.activeExpectedNs.addAndGet(-run.expectedNs());
            giveLongSlot(run, line);
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
                enqueue(run, line, now, hasUsableTargets(run.request(), now));
            }
        }
    }
}
