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
import org.cornelcove.policy.queue.QueuedRequest;
import org.cornelcove.policy.queue.RequestQueue;
import org.cornelcove.policy.retry.RetryBudget;
import org.cornelcove.policy.retry.RetryDecision;
import org.cornelcove.policy.route.LeastLoaded;
import org.cornelcove.policy.route.OutlierEjector;
import org.cornelcove.policy.route.SendOutcome;
import org.cornelcove.policy.route.SendResult;
import org.cornelcove.policy.route.TargetHealth;

/**
 * The requests of one service at this entry: the request queue and the slots of the owned targets, guarded by one
 * read-write lock.
 *
 * <p>In <em>shared</em> mode any number of short requests start and end concurrently while none is queued: the slot is
 * taken by compare-and-set, and the queue's updates for these requests commute; see {@link RequestQueue}. Everything
 * else runs in <em>exclusive</em> mode, in one thread at a time: queueing, displacing, refusing, ejecting, and long
 * requests. Example: while 24 quotes run on 32 slots, quotes start and end in shared mode; a search, which is long,
 * starts in exclusive mode, and if it has to queue, quotes also start in exclusive mode until it has started.
 *
 * <p>The invariants follow from the mutual exclusion of the modes. No request is queued while another starts in shared
 * mode, so none is overtaken. A request that is queued sees all slots taken or released in shared mode before it, and
 * checks for a free slot itself, so no wake-up is lost. The bounds on long requests do not change while a long request
 * is counted against them.
 *
 * <p>A start takes a target's slot and a place among the queue's running requests in one step; an end releases both in
 * one step. So in exclusive mode the queue's count of running requests always equals the sum of the active slots,
 * including those of targets that have left. Nothing is sent, answered or logged under the lock.
 *
 * <p>The number of slots given to the queue for a start is the running requests plus the free slots of usable targets:
 * runs at a closed target take no slot from the others. An arriving request is admitted against the slots of the usable
 * targets, or against one slot while all targets are temporarily unusable.
 */
final class ServiceLine {
    private static final CompletableFuture<Void> FINISHED = CompletableFuture.completedFuture(null);
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
    /** The origin of the queue's clock, in nanoseconds of the monotonic clock. */
    private final long originNs;

    private final StampedLock lock = new StampedLock();
    private final AtomicInteger roundRobin = new AtomicInteger();

    private volatile boolean hasPending;
    private volatile boolean hasDisplaced;

    /**
     * A request that holds a target's slot.
     *
     * @param place its place among the queue's running requests
     * @param target the target
     */
    record Start(QueuedRequest<Run> place, OwnedTarget target) {
        Run run() {
            return place.payload();
        }
    }

    /**
     * The result of offering a request to the queue.
     *
     * @param verdict whether the request was queued
     * @param next the request to start now: the offered one or one queued before it
     */
    record Offered(Verdict verdict, Optional<Start> next) {}

    /**
     * The result of ending a start.
     *
     * @param ejected whether the target was ejected for a while
     * @param runFinished completes once the run is finished at the target
     */
    record Ended(boolean ejected, CompletableFuture<Void> runFinished) {}

    /** How a run at a target ended. */
    enum End {
        /** It finished, and the answer is not a server error. */
        RAN,
        /** It finished, and the target answered with a server error. */
        RAN_AND_FAILED,
        /** It was not run, for a reason that does not count against the target. */
        NOT_SENT,
        /** It was not run, because the target refused it or could not be reached. */
        REFUSED,
        /** It may still be running at the target, which did not answer before the deadline. */
        SILENT,
        /** It may still be running at the target, which closed the connection or sent a malformed answer. */
        BROKEN;

        private boolean isFinished() {
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

    /** Returns whether requests are queued or displaced requests are to be answered; needs no lock. */
    boolean hasWork() {
        return hasPending;
    }

    /** Starts a request immediately if a slot is free that no queued request may take. */
    Optional<Start> startNow(Run run, List<OwnedTarget> owned, long nowNs) {
        if (!anySlotFree(owned)) {
            return Optional.empty();
        }
        Arrival<Run> arrival = arrival(run, nowNs);
        Optional<Start> start = hasPending ? Optional.empty() : startShared(arrival, owned, nowNs);
        return start.isPresent() ? start : exclusively(() -> startExclusive(arrival, owned, nowNs));
    }

    private Optional<Start> startShared(Arrival<Run> arrival, List<OwnedTarget> owned, long nowNs) {
        Run run = arrival.payload();
        long nowUs = micros(nowNs);
        long stamp = lock.readLock();
        try {
            Optional<QueuedRequest<Run>> place =
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

    private Optional<Start> startExclusive(Arrival<Run> arrival, List<OwnedTarget> owned, long nowNs) {
        Run run = arrival.payload();
        Optional<OwnedTarget> target = take(owned, run.lastFailed(), nowNs);
        if (target.isEmpty()) {
            return Optional.empty();
        }
        queue.setRule(run.request().service());
        // The slot taken above is no longer free and not yet counted by the queue.
        int slots = queue.busy() + 1 + free(owned, nowNs);
        Optional<QueuedRequest<Run>> place = queue.startNow(arrival, slots, micros(nowNs));
        if (place.isEmpty()) {
            target.get().slots().release();
        }
        return place.map(one -> new Start(one, target.get()));
    }

    /**
     * Queues or refuses a request, and starts the next one if a slot is free. Both happen in one step: otherwise other
     * requests would find a non-empty queue despite a free slot, and be queued too.
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
     * Starts the next queued request if a slot is free. Callers that release a slot call this afterwards, so returning
     * early when no slot is free misses no request.
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
        Optional<QueuedRequest<Run>> next = queue.poll(slots, micros(nowNs));
        updateFlags();
        if (next.isEmpty()) {
            target.ifPresent(one -> one.slots().release());
            return Optional.empty();
        }
        return Optional.of(new Start(next.get(), avoidFailedTarget(next.get().payload(), target.get(), owned, nowNs)));
    }

    /** Records the end of a start. */
    Ended finished(Start start, End end, List<OwnedTarget> owned, long nowNs) {
        Run run = start.run();
        OwnedTarget target = start.target();
        SendResult sendResult = sendResult(run, end, nowNs);
        if (end.ran()) {
            runTimes.record(service, run.kind(), sendResult.tookUs());
        }
        Optional<Boolean> ejectionCandidate =
                end == End.RAN ? finishShared(start, owned, sendResult, nowNs) : Optional.empty();
        if (ejectionCandidate.isPresent()) {
            return new Ended(ejectionCandidate.get() && ejectIfUnhealthy(target, owned, nowNs), FINISHED);
        }
        return exclusively(() -> {
            CompletableFuture<Void> runFinished = FINISHED;
            if (end.isFinished()) {
                target.slots().release();
            } else {
                runFinished = target.slots().abandon(nowNs);
            }
            queue.finished(start.place(), micros(nowNs));
            long nowMs = nowNs / NANOS_PER_MS;
            return new Ended(
                    OutlierEjector.recordOutcome(target.health(), owned, OwnedTarget::health, sendResult, nowMs),
                    runFinished);
        });
    }

    /** Returns whether the target is a candidate for ejection; empty when the run must be ended in exclusive mode. */
    private Optional<Boolean> finishShared(Start start, List<OwnedTarget> owned, SendResult sendResult, long nowNs) {
        if (hasPending) {
            return Optional.empty();
        }
        TargetHealth health = start.target().health();
        long stamp = lock.readLock();
        try {
            if (!queue.finishShared(start.place())) {
                return Optional.empty();
            }
            start.target().slots().release();
            return Optional.of(
                    OutlierEjector.recordAnswer(health, owned, OwnedTarget::health, sendResult, nowNs / NANOS_PER_MS));
        } finally {
            lock.unlockRead(stamp);
        }
    }

    private boolean ejectIfUnhealthy(OwnedTarget target, List<OwnedTarget> owned, long nowNs) {
        long nowMs = nowNs / NANOS_PER_MS;
        return exclusively(() -> OutlierEjector.ejectIfUnhealthy(target.health(), owned, OwnedTarget::health, nowMs));
    }

    private SendResult sendResult(Run run, End end, long nowNs) {
        long tookUs = (nowNs - run.startedNs()) / NANOS_PER_US;
        RunTimeEstimate kind = estimate(run, nowNs);
        SendOutcome outcome =
                switch (end) {
                    case RAN -> SendOutcome.ANSWERED;
                    case NOT_SENT -> SendOutcome.ABANDONED;
                    case SILENT -> OutlierEjector.classifyTimeout(tookUs, kind);
                    default -> SendOutcome.FAILED;
                };
        // Without a learned median the run is compared with itself.
        return new SendResult(outcome, tookUs, kind.samples() > 0 ? kind.p50Us() : tookUs);
    }

    private RunTimeEstimate estimate(Run run, long nowNs) {
        return runTimes.estimate(service, run.kind(), declaredUs(run.request(), nowNs));
    }

    /** Removes a request from the queue if it is there. */
    void cancel(Run run) {
        exclusively(() -> {
            boolean waited = run.place() != null && queue.cancel(run.place());
            updateFlags();
            return waited;
        });
    }

    /** Removes and returns requests that can no longer meet their deadline or were displaced. */
    List<Run> takeExpired(long nowNs) {
        return hasDisplaced ? removeExpired(micros(nowNs)) : List.of();
    }

    /** Removes and returns all queued requests. */
    List<Run> takeAll() {
        return removeExpired(Long.MAX_VALUE);
    }

    /** Returns whether a request that was not run is retried; a retry is taken from the budget. */
    boolean mayRetry(Run run, long nowNs) {
        ServiceRequest request = run.request();
        long remainingUs = (request.deadlineNs() - nowNs) / NANOS_PER_US;
        long expectedUs = estimate(run, nowNs).p50Us();
        return RetryDecision.mayRetry(
                true, run.attempts(), remainingUs, expectedUs, retries.get(request.requestClass()));
    }

    private List<Run> removeExpired(long nowUs) {
        List<QueuedRequest<Run>> taken = exclusively(() -> {
            List<QueuedRequest<Run>> expired = queue.takeExpired(nowUs);
            updateFlags();
            return expired;
        });
        return taken.stream().map(QueuedRequest::payload).toList();
    }

    /** Applies a function to the queue in exclusive mode, for tests. */
    <R> R inspect(Function<RequestQueue<Run>, R> at) {
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

    private void updateFlags() {
        hasDisplaced = queue.hasDisplaced();
        hasPending = hasDisplaced || queue.size() > 0;
    }

    private Arrival<Run> arrival(Run run, long nowNs) {
        ServiceRequest request = run.request();
        return new Arrival<>(
                request.tenant(), run.kind(), micros(request.deadlineNs()), declaredUs(request, nowNs), run);
    }

    /** Returns the assumed run time of a kind with too few samples: short, and a fraction of the remaining time. */
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
        int from = roundRobin.getAndIncrement();
        while (true) {
            Optional<OwnedTarget> target = LeastLoaded.choose(free, OwnedTarget::load, this::isInSameZone, from);
            if (target.isEmpty() || target.get().tryTake(nowNs, silenceNs)) {
                return target;
            }
            free.remove(target.get());
        }
    }

    private boolean isInSameZone(OwnedTarget target) {
        return target.availabilityZone().equals(availabilityZone);
    }

    /** Returns the targets with a free slot, excluding the one to avoid if any other target is usable. */
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

    /** Exchanges the slot for one at another target if the last attempt of the request failed at this one. */
    private OwnedTarget avoidFailedTarget(Run run, OwnedTarget taken, List<OwnedTarget> owned, long nowNs) {
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

    /** Checks for a free slot without the lock, to avoid taking it needlessly. */
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
