package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.StampedLock;
import java.util.function.Function;
import java.util.function.Supplier;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.admission.Verdict;
import org.cornelcove.policy.learn.RunTimeEstimate;
import org.cornelcove.policy.learn.RunTimes;
import org.cornelcove.policy.queue.Arrival;
import org.cornelcove.policy.queue.Offer;
import org.cornelcove.policy.queue.RequestQueue;
import org.cornelcove.policy.queue.Waiting;
import org.cornelcove.policy.retry.RetryBudget;
import org.cornelcove.policy.retry.RetryDecision;
import org.cornelcove.policy.route.HealthJudge;
import org.cornelcove.policy.route.LeastLoaded;
import org.cornelcove.policy.route.SendOutcome;
import org.cornelcove.policy.route.Sent;
import org.cornelcove.policy.route.TargetHealth;

/**
 * The requests of one service at this entry: the policy's queue and the slots of the owned targets under one lock with
 * two modes.
 *
 * <p>In the <em>shared</em> mode short requests start and end while nothing waits, any number at once: the slot is taken
 * by compare-and-set, and what the queue keeps of them commutes; see {@link RequestQueue}. All else is decided in the
 * <em>exclusive</em> mode, by one thread alone: whatever has to wait, be displaced, refused or ejected, and long work.
 * Example: while 24 quotes run on 32 slots, quotes come and go in the shared mode; a search, which is long, starts in
 * the exclusive one, and if it has to wait, quotes start in the exclusive one too until it has started.
 *
 * <p>What must hold, follows from the modes excluding each other. Nothing waits while a request starts in the shared mode,
 * so that it overtakes nobody; whoever starts to wait does so after all slots taken or given back there, and looks for a
 * free one himself, so that no wake-up is lost; long work is counted against bounds that hold still meanwhile.
 *
 * <p>A start takes a target's slot and a place among the queue's running requests in one step, an ending gives both
 * back in one step. So the queue's count of running requests is at any moment the sum of the active slots, those of
 * targets that left included, seen from the exclusive mode. Nothing is sent, answered or logged under the lock.
 *
 * <p>What may start now is what runs plus what is free at open targets: runs at a target that was closed take no slot
 * away from the others. What an arriving request is measured against are the slots of the open targets; while there are
 * only targets that may open later, it counts on one.
 */
final class ServiceLine {
    private static final CompletableFuture<Void> OVER = CompletableFuture.completedFuture(null);
    private static final int RETRY_PERCENT = 5;
    private static final int RETRY_BURST = 10;
    private static final int MIN_RUNS_TO_DEADLINE = 4;
    private static final long NANOS_PER_US = 1_000;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long MICROS_PER_MS = 1_000;

    private final String service;
    private final RunTimes runTimes;
    private final RequestQueue<Run> queue;
    private final Map<RequestClass, RetryBudget> retries = new EnumMap<>(RequestClass.class);
    private final String availabilityZone;
    private final long silenceNs;
    /** The queue's clock counts from here. */
    private final long originNs;

    private final StampedLock lock = new StampedLock();
    private final AtomicInteger turn = new AtomicInteger();

    private volatile boolean working;
    private volatile boolean givesBack;

    /**
     * A request that holds a target's slot.
     *
     * @param place its place among the queue's running requests
     * @param target the target
     */
    record Start(Waiting<Run> place, OwnedTarget target) {
        Run run() {
            return place.payload();
        }
    }

    /**
     * What came of offering a request.
     *
     * @param verdict whether it waits
     * @param next what starts now, the request itself or one before it
     */
    record Offered(Verdict verdict, Optional<Start> next) {}

    /**
     * What follows from the end of a start.
     *
     * @param ejected whether the target gets nothing for a while
     * @param over completes once nothing of the run goes on at the target
     */
    record Ended(boolean ejected, CompletableFuture<Void> over) {}

    /** How a run at a target ended. */
    enum End {
        /** It is over, and its run time is worth learning. */
        RAN,
        /** It is over, and the target answered that it failed. */
        RAN_AND_FAILED,
        /** Nothing of it was run, and the target is not to blame. */
        NOT_SENT,
        /** Nothing of it was run, because the target refused or could not be reached. */
        REFUSED,
        /** It may go on at the target, which had not answered in time. */
        SILENT,
        /** It may go on at the target, which broke off or answered nonsense. */
        BROKEN;

        private boolean isOver() {
            return this != SILENT && this != BROKEN;
        }

        private boolean ran() {
            return this == RAN || this == RAN_AND_FAILED;
        }
    }

    ServiceLine(
            ServiceRule rule,
            Function<String, TenantRule> tenants,
            RunTimes runTimes,
            EntrySettings settings,
            long originNs) {
        this.service = rule.name();
        this.runTimes = runTimes;
        this.queue = RequestQueue.of(
                rule, tenants, runTimes, settings.seed() ^ rule.name().hashCode());
        this.availabilityZone = settings.availabilityZone();
        this.silenceNs = settings.targetSilenceMs() * NANOS_PER_MS;
        this.originNs = originNs;
        for (RequestClass one : RequestClass.values()) {
            retries.put(one, RetryBudget.of(RETRY_PERCENT, RETRY_BURST));
        }
    }

    String service() {
        return service;
    }

    RetryBudget retries(RequestClass requestClass) {
        return retries.get(requestClass);
    }

    /** Tells whether something waits, or is to be given back; needs no lock. */
    boolean hasWork() {
        return working;
    }

    /** Starts a request without waiting, if a slot is free that nothing waiting may take. */
    Optional<Start> startNow(Run run, List<OwnedTarget> owned, long nowNs) {
        if (!anySlotFree(owned)) {
            return Optional.empty();
        }
        Arrival<Run> arrival = arrival(run, nowNs);
        Optional<Start> start = working ? Optional.empty() : startShared(arrival, owned, nowNs);
        return start.isPresent() ? start : exclusively(() -> startAlone(arrival, owned, nowNs));
    }

    private Optional<Start> startShared(Arrival<Run> arrival, List<OwnedTarget> owned, long nowNs) {
        Run run = arrival.payload();
        long nowUs = micros(nowNs);
        long stamp = lock.readLock();
        try {
            Optional<Waiting<Run>> place =
                    queue.admitShared(arrival, run.request().service(), nowUs);
            Optional<OwnedTarget> target = place.flatMap(admitted -> take(owned, run.lastFailed(), nowNs));
            return target.map(taken -> {
                queue.startShared(place.get(), nowUs);
                return new Start(place.get(), taken);
            });
        } finally {
            lock.unlockRead(stamp);
        }
    }

    private Optional<Start> startAlone(Arrival<Run> arrival, List<OwnedTarget> owned, long nowNs) {
        Run run = arrival.payload();
        Optional<OwnedTarget> target = take(owned, run.lastFailed(), nowNs);
        if (target.isEmpty()) {
            return Optional.empty();
        }
        queue.setRule(run.request().service());
        // The slot taken above is no longer free, and not yet the queue's.
        int slots = queue.busy() + 1 + free(owned, nowNs);
        Optional<Waiting<Run>> place = queue.startNow(arrival, slots, micros(nowNs));
        if (place.isEmpty()) {
            target.get().slots().release();
        }
        return place.map(one -> new Start(one, target.get()));
    }

    /**
     * Lets a request wait, or refuses it, and starts what is next if a slot is free. Both in one step: otherwise others
     * would find the queue filled beside a free slot, and queue in their turn.
     */
    Offered offer(Run run, List<OwnedTarget> owned, long nowNs) {
        Arrival<Run> arrival = arrival(run, nowNs);
        return exclusively(() -> {
            queue.setRule(run.request().service());
            int slots = Math.max(1, usable(owned, nowNs));
            Offer<Run> offer = queue.offer(arrival, slots, micros(nowNs));
            offer.request().ifPresent(run::queuedAt);
            Optional<Start> next = pollNext(owned, nowNs);
            return new Offered(offer.verdict(), next);
        });
    }

    /**
     * Starts the request that is next, if there is one and a slot for it. Whoever gives a slot back calls this after it,
     * so that nothing is missed when no slot is free yet.
     */
    Optional<Start> startNext(List<OwnedTarget> owned, long nowNs) {
        if (!anySlotFree(owned)) {
            return Optional.empty();
        }
        return exclusively(() -> pollNext(owned, nowNs));
    }

    private Optional<Start> pollNext(List<OwnedTarget> owned, long nowNs) {
        Optional<OwnedTarget> target = take(owned, Optional.empty(), nowNs);
        int slots = target.isPresent() ? queue.busy() + 1 + free(owned, nowNs) : 0;
        Optional<Waiting<Run>> next = queue.poll(slots, micros(nowNs));
        noteWork();
        if (next.isEmpty()) {
            target.ifPresent(one -> one.slots().release());
            return Optional.empty();
        }
        return Optional.of(new Start(next.get(), otherThanFailed(next.get().payload(), target.get(), owned, nowNs)));
    }

    /** Notes that a start came to its end. */
    Ended finished(Start start, End end, List<OwnedTarget> owned, long nowNs) {
        Run run = start.run();
        OwnedTarget target = start.target();
        Sent sent = sent(run, end, nowNs);
        if (end.ran()) {
            runTimes.record(service, run.kind(), sent.tookUs());
        }
        Optional<Boolean> unfit = end == End.RAN ? finishShared(start, owned, sent, nowNs) : Optional.empty();
        if (unfit.isPresent()) {
            return new Ended(unfit.get() && ejectIfUnfit(target, owned, nowNs), OVER);
        }
        return exclusively(() -> {
            CompletableFuture<Void> over = OVER;
            if (end.isOver()) {
                target.slots().release();
            } else {
                over = target.slots().abandon(nowNs);
            }
            queue.finished(start.place(), micros(nowNs));
            long nowMs = nowNs / NANOS_PER_MS;
            return new Ended(HealthJudge.note(target.health(), owned, OwnedTarget::health, sent, nowMs), over);
        });
    }

    /** Returns whether the target looks unfit; empty when the run has to be ended in the exclusive mode. */
    private Optional<Boolean> finishShared(Start start, List<OwnedTarget> owned, Sent sent, long nowNs) {
        if (working) {
            return Optional.empty();
        }
        TargetHealth health = start.target().health();
        long stamp = lock.readLock();
        try {
            if (!queue.finishShared(start.place())) {
                return Optional.empty();
            }
            start.target().slots().release();
            return Optional.of(HealthJudge.noteAnswer(health, owned, OwnedTarget::health, sent, nowNs / NANOS_PER_MS));
        } finally {
            lock.unlockRead(stamp);
        }
    }

    private boolean ejectIfUnfit(OwnedTarget target, List<OwnedTarget> owned, long nowNs) {
        long nowMs = nowNs / NANOS_PER_MS;
        return exclusively(() -> HealthJudge.ejectIfUnfit(target.health(), owned, OwnedTarget::health, nowMs));
    }

    private Sent sent(Run run, End end, long nowNs) {
        long tookUs = (nowNs - run.startedNs()) / NANOS_PER_US;
        RunTimeEstimate kind = estimate(run, nowNs);
        SendOutcome outcome =
                switch (end) {
                    case RAN -> SendOutcome.ANSWERED;
                    case NOT_SENT -> SendOutcome.ABANDONED;
                    case SILENT -> HealthJudge.silent(tookUs, kind);
                    default -> SendOutcome.FAILED;
                };
        // Without a learned median the run is its own measure.
        return new Sent(outcome, tookUs, kind.samples() > 0 ? kind.p50Us() : tookUs);
    }

    private RunTimeEstimate estimate(Run run, long nowNs) {
        return runTimes.estimate(service, run.kind(), declaredUs(run.request(), nowNs));
    }

    /** Takes a request out of the queue if it waits there. */
    void cancel(Run run) {
        exclusively(() -> {
            boolean waited = run.place() != null && queue.cancel(run.place());
            noteWork();
            return waited;
        });
    }

    /** Takes what can no longer be answered in time, or had to make room. */
    List<Run> takeExpired(long nowNs) {
        return givesBack ? takeBack(micros(nowNs)) : List.of();
    }

    /** Takes everything that waits. */
    List<Run> takeAll() {
        return takeBack(Long.MAX_VALUE);
    }

    /** Decides whether a request that was not run is tried again. */
    boolean mayRetry(Run run, long nowNs) {
        ServiceRequest request = run.request();
        long remainingUs = (request.deadlineNs() - nowNs) / NANOS_PER_US;
        long expectedUs = estimate(run, nowNs).p50Us();
        return RetryDecision.mayRetry(
                true, run.attempts(), remainingUs, expectedUs, retries.get(request.requestClass()));
    }

    private List<Run> takeBack(long nowUs) {
        List<Waiting<Run>> taken = exclusively(() -> {
            List<Waiting<Run>> expired = queue.takeExpired(nowUs);
            noteWork();
            return expired;
        });
        return taken.stream().map(Waiting::payload).toList();
    }

    /** Looks at the queue while nothing starts, ends or comes to wait. */
    <R> R look(Function<RequestQueue<Run>, R> at) {
        return exclusively(() -> at.apply(queue));
    }

    private <R> R exclusively(Supplier<R> step) {
        long stamp = lock.writeLock();
        try {
            return step.get();
        } finally {
            lock.unlockWrite(stamp);
        }
    }

    private void noteWork() {
        givesBack = queue.hasDisplaced();
        working = givesBack || queue.size() > 0;
    }

    private Arrival<Run> arrival(Run run, long nowNs) {
        ServiceRequest request = run.request();
        return new Arrival<>(
                request.tenant(), run.kind(), micros(request.deadlineNs()), declaredUs(request, nowNs), run);
    }

    /** A kind of which too little was learned is taken for short work that fits into its deadline. */
    private static long declaredUs(ServiceRequest request, long nowNs) {
        long remainingUs = (request.deadlineNs() - nowNs) / NANOS_PER_US;
        return Math.min(request.service().shortRunMs() * MICROS_PER_MS, remainingUs / MIN_RUNS_TO_DEADLINE);
    }

    private long micros(long instantNs) {
        return (instantNs - originNs) / NANOS_PER_US;
    }

    // Slots

    private Optional<OwnedTarget> take(List<OwnedTarget> owned, Optional<OwnedTarget> avoid, long nowNs) {
        List<OwnedTarget> free = withFreeSlot(owned, avoid, nowNs);
        int from = turn.getAndIncrement();
        while (true) {
            Optional<OwnedTarget> target = LeastLoaded.choose(free, OwnedTarget::load, this::isNear, from);
            if (target.isEmpty() || target.get().tryTake(nowNs, silenceNs)) {
                return target;
            }
            free.remove(target.get());
        }
    }

    private boolean isNear(OwnedTarget target) {
        return target.availabilityZone().equals(availabilityZone);
    }

    /** Returns the targets with a free slot, without the one to avoid if any other may be used at all. */
    private List<OwnedTarget> withFreeSlot(List<OwnedTarget> owned, Optional<OwnedTarget> avoid, long nowNs) {
        List<OwnedTarget> free = new ArrayList<>(owned.size());
        boolean others = false;
        for (OwnedTarget target : owned) {
            boolean avoided = avoid.isPresent() && avoid.get() == target;
            others |= !avoided && target.usableSlots(nowNs, silenceNs) > 0;
            if (target.freeSlots(nowNs, silenceNs) > 0) {
                free.add(target);
            }
        }
        if (others) {
            avoid.ifPresent(free::remove);
        }
        return free;
    }

    /** Swaps the slot for one at another target if the request failed at this one before. */
    private OwnedTarget otherThanFailed(Run run, OwnedTarget taken, List<OwnedTarget> owned, long nowNs) {
        if (run.lastFailed().filter(failed -> failed == taken).isEmpty()) {
            return taken;
        }
        Optional<OwnedTarget> other = take(owned, run.lastFailed(), nowNs);
        if (other.isEmpty()) {
            return taken;
        }
        taken.slots().release();
        return other.get();
    }

    /** A glance without the lock, so that it isn't taken in vain. */
    private static boolean anySlotFree(List<OwnedTarget> owned) {
        for (OwnedTarget target : owned) {
            if (target.slots().free() > 0) {
                return true;
            }
        }
        return false;
    }

    private int free(List<OwnedTarget> owned, long nowNs) {
        int sum = 0;
        for (OwnedTarget target : owned) {
            sum += target.freeSlots(nowNs, silenceNs);
        }
        return sum;
    }

    private int usable(List<OwnedTarget> owned, long nowNs) {
        int sum = 0;
        for (OwnedTarget target : owned) {
            sum += target.usableSlots(nowNs, silenceNs);
        }
        return sum;
    }
}
