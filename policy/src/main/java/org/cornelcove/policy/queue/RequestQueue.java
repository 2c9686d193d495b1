package org.cornelcove.policy.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TenantRule;
import org.cornelcove.policy.admission.ReturnSpread;
import org.cornelcove.policy.admission.Verdict;
import org.cornelcove.policy.admission.WaitPredictor;
import org.cornelcove.policy.learn.RunTimeEstimate;
import org.cornelcove.policy.learn.RunTimes;

/**
 * The queue of one service at one entry: admits requests, orders the waiting ones and reserves slots for short work.
 *
 * <p>A request is short if the 90th percentile of its kind's run time is within the rule's {@code shortRunMs}. Short and
 * long requests wait in separate lanes, each scheduled fairly between tenants. Long requests together hold at most
 * {@code 100 - shortSlotsPercent} per cent of the slots, and fewer while short work needs more, see {@link ShortDemand}.
 * Below that limit, the lane whose next request has the earlier latest useful start goes first. A short request that runs
 * longer than {@code shortRunMs} counts as long from then on. Its run time so far is recorded at once, so that the next
 * request of its kind is not classified as short.
 *
 * <p>A request is refused at arrival if it could not be answered in time, if the queue is full or if there is no slot. A
 * refusal includes a retry delay, see {@link ReturnSpread}. A request whose latest useful start passes while it waits is
 * returned by {@link #takeExpired}; no part of it was sent to a target.
 *
 * <p>A single sorted queue was rejected: when the load is low, a few long requests fill every slot, and short requests
 * then wait for a whole long run regardless of the queue's order.
 *
 * <p>Usage: call {@code startNow} at arrival and, if it returns nothing, {@code offer}; {@code poll} whenever a target has
 * a free slot; {@code finished} when a run has ended; {@code takeExpired} after each poll.
 *
 * <p>Thread safety: external locking is required. {@link #admitShared}, {@link #startShared} and {@link #finishShared}
 * may run concurrently under a shared lock; all other methods need the exclusive lock. The shared methods handle the
 * common case, short work while nothing waits. In that case any request may start that has a slot, and starts and ends
 * commute: the state of the queue does not depend on their order. Cases where the order matters (long work, a lane that
 * is not empty, a short run that has become long) are left to the exclusive methods. A single exclusive lock was rejected
 * after the benchmark {@code relay}: with more threads than cores the lock holder is often descheduled while all other
 * threads wait for it.
 *
 * @param <T> type of the caller's payload
 */
public final class RequestQueue<T> {
    private static final double RETRY_SHARE = 0.25;
    private static final double WAIT_SAFETY_FACTOR = 1.6;
    private static final int MIN_LONG_PERCENT = 10;
    private static final int PERCENT = 100;
    /** Sequence number of requests that start under the shared lock; they are never queued, so they need no order. */
    private static final long NEVER_QUEUED = -1;

    private final Function<String, TenantRule> tenants;
    private final RunTimes runTimes;
    private final ReturnSpread returns;
    private final FairLane<T> shortLane;
    private final FairLane<T> longLane;
    private final Set<QueuedRequest<T>> shortRunning = ConcurrentHashMap.newKeySet();
    private final ShortDemand shortDemand = new ShortDemand();
    private final List<QueuedRequest<T>> displaced = new ArrayList<>();
    private ServiceRule rule;
    private long sequence;
    private int busyLong;
    /** Lower bound of the start times of the requests that run as short. */
    private long oldestStartUs = Long.MAX_VALUE;

    private RequestQueue(ServiceRule rule, Function<String, TenantRule> tenants, RunTimes runTimes, long seed) {
        this.rule = rule;
        this.tenants = tenants;
        this.runTimes = runTimes;
        this.returns = ReturnSpread.seeded(seed);
        this.shortLane = new FairLane<>(t -> Math.max(1, tenants.apply(t).weight()));
        this.longLane = new FairLane<>(t -> Math.max(1, tenants.apply(t).weight()));
    }

    /**
     * Returns an empty queue.
     *
     * @param <T> type of the caller's payload
     * @param rule the service's rule
     * @param tenants returns the rule of a tenant, a default rule for a tenant without one
     * @param runTimes recorded run times, shared between queues
     * @param seed seed of the random retry delays
     * @return the queue
     */
    public static <T> RequestQueue<T> of(
            ServiceRule rule, Function<String, TenantRule> tenants, RunTimes runTimes, long seed) {
        return new RequestQueue<>(rule, tenants, runTimes, seed);
    }

    /**
     * Applies a new configuration; waiting requests stay in their lanes.
     *
     * @param newRule the service's rule from now on
     */
    public void setRule(ServiceRule newRule) {
        rule = newRule;
    }

    /**
     * Decides on an arriving request and queues it unless refused.
     *
     * @param arrival the request
     * @param slots the number of slots of all targets that may be used now
     * @param nowUs the current instant
     * @return the decision, with the queued request unless it was refused
     */
    public Offer<T> offer(Arrival<T> arrival, int slots, long nowUs) {
        reclassifyStragglers(nowUs);
        RunTimeEstimate estimate = runTimes.estimate(rule.name(), arrival.kind(), arrival.declaredRunUs());
        boolean isLong = isLong(estimate);
        FairLane<T> lane = isLong ? longLane : shortLane;
        int laneSlots = laneSlots(isLong, slots, nowUs);
        long waitUs = predictWaitUs(lane, laneSlots, arrival, estimate);
        if (slots <= 0) {
            return refuse(ErrorKind.NO_TARGET, 0, estimate, laneSlots, nowUs);
        }
        long remainingUs = arrival.deadlineUs() - nowUs;
        boolean inTime = waitUs == 0
                ? estimate.p90Us() <= remainingUs
                : WAIT_SAFETY_FACTOR * waitUs + estimate.p99Us() <= remainingUs;
        if (!inTime) {
            return refuse(ErrorKind.DEADLINE_UNREACHABLE, waitUs, estimate, laneSlots, nowUs);
        }
        if (!makeRoom(arrival.tenant())) {
            return refuse(ErrorKind.QUEUE_FULL, waitUs, estimate, laneSlots, nowUs);
        }
        QueuedRequest<T> request = new QueuedRequest<>(arrival, estimate, isLong, sequence++);
        lane.add(request);
        if (!isLong) {
            shortDemand.note(estimate.meanUs(), nowUs);
        }
        return new Offer<>(Verdict.admitted(waitUs), Optional.of(request));
    }

    /**
     * Starts a request without queueing it if a slot is free that no waiting request may use. Its deadline is not
     * compared with the estimated run time: the slot would otherwise be idle, and a kind that was slow for a while would
     * be refused indefinitely, because its estimate improves only with new runs.
     *
     * @param arrival the request
     * @param slots the number of slots of all targets that may be used now
     * @param nowUs the current instant
     * @return the running request; empty if it must be passed to {@link #offer}
     */
    public Optional<QueuedRequest<T>> startNow(Arrival<T> arrival, int slots, long nowUs) {
        reclassifyStragglers(nowUs);
        boolean longAllowed = busyLong < longSlotsNow(slots, nowUs);
        boolean waitingGoesFirst = shortLane.size() > 0 || longAllowed && longLane.size() > 0;
        if (waitingGoesFirst || busy() >= slots) {
            return Optional.empty();
        }
        RunTimeEstimate estimate = runTimes.estimate(rule.name(), arrival.kind(), arrival.declaredRunUs());
        boolean isLong = isLong(estimate);
        if (isLong && !longAllowed) {
            return Optional.empty();
        }
        QueuedRequest<T> request = new QueuedRequest<>(arrival, estimate, isLong, sequence++);
        start(request, nowUs);
        if (!isLong) {
            shortDemand.note(estimate.meanUs(), nowUs);
        }
        return Optional.of(request);
    }

    /**
     * Makes the same decision as {@link #startNow} for short work while nothing waits; may be called concurrently. Such a
     * request may start if there is a slot. The caller then takes a slot and calls {@link #startShared} without releasing
     * the shared lock in between.
     *
     * @param arrival the request
     * @param newRule the service's rule that applies to the request
     * @param nowUs the current instant
     * @return the request, not started yet; empty if {@code startNow} must decide
     */
    public Optional<QueuedRequest<T>> admitShared(Arrival<T> arrival, ServiceRule newRule, long nowUs) {
        if (size() > 0 || !newRule.equals(rule) || mayHaveStragglers(nowUs) || !shortDemand.allowsSharedNotes(nowUs)) {
            return Optional.empty();
        }
        RunTimeEstimate estimate = runTimes.estimate(rule.name(), arrival.kind(), arrival.declaredRunUs());
        return isLong(estimate)
                ? Optional.empty()
                : Optional.of(new QueuedRequest<>(arrival, estimate, false, NEVER_QUEUED));
    }

    /**
     * Records the start of a request that {@link #admitShared} returned.
     *
     * @param request the request
     * @param nowUs the time passed to {@code admitShared}
     */
    public void startShared(QueuedRequest<T> request, long nowUs) {
        request.start(nowUs);
        shortRunning.add(request);
        shortDemand.noteShared(request.expectedUs(), nowUs);
    }

    /**
     * Does the same as {@link #finished} for short work while nothing waits; may be called concurrently. While the lanes
     * are empty, no tenant's charge needs correction.
     *
     * @param request the request as started by {@link #startShared}, {@link #startNow} or {@link #poll}
     * @return true if the end was recorded; if false, {@code finished} must be called
     */
    public boolean finishShared(QueuedRequest<T> request) {
        if (size() > 0 || request.isLong()) {
            return false;
        }
        if (shortRunning.remove(request)) {
            request.end();
        }
        return true;
    }

    /**
     * Removes and starts the next request. The caller must already have chosen a target with a free slot.
     *
     * @param slots the number of slots of all targets that may be used now
     * @param nowUs the current instant
     * @return the started request; empty if none may start
     */
    public Optional<QueuedRequest<T>> poll(int slots, long nowUs) {
        reclassifyStragglers(nowUs);
        expire(shortLane, nowUs);
        expire(longLane, nowUs);
        if (busy() >= slots) {
            return Optional.empty();
        }
        Optional<QueuedRequest<T>> next = nextLane(slots, nowUs).poll();
        next.ifPresent(request -> start(request, nowUs));
        return next;
    }

    /**
     * Records the end of a run, regardless of its outcome. The caller adds the run time to the run-time statistics where
     * appropriate, which does not require the queue's lock.
     *
     * @param request the request as started by {@link #startShared}, {@link #startNow} or {@link #poll}
     * @param nowUs the current instant
     */
    public void finished(QueuedRequest<T> request, long nowUs) {
        if (!request.isRunning()) {
            return;
        }
        request.end();
        long runUs = nowUs - request.startedUs();
        if (request.isLong()) {
            busyLong--;
        } else {
            shortRunning.remove(request);
        }
        FairLane<T> lane = request.wasQueuedLong() ? longLane : shortLane;
        lane.adjustCharge(request.tenant(), runUs - request.expectedUs());
    }

    /**
     * Removes a request from the queue because its caller has disconnected.
     *
     * @param request the request
     * @return true if it was still waiting
     */
    public boolean cancel(QueuedRequest<T> request) {
        return shortLane.remove(request) || longLane.remove(request);
    }

    /**
     * Removes the requests that can no longer be answered in time or were displaced by a tenant below its share.
     *
     * @param nowUs the current instant
     * @return the requests, none of which was sent to a target
     */
    public List<QueuedRequest<T>> takeExpired(long nowUs) {
        expire(shortLane, nowUs);
        expire(longLane, nowUs);
        List<QueuedRequest<T>> taken = List.copyOf(displaced);
        displaced.clear();
        return taken;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the count over both lanes
     */
    public int size() {
        return shortLane.size() + longLane.size();
    }

    /**
     * Returns the number of running requests.
     *
     * @return the count of short and long requests
     */
    public int busy() {
        return busyShort() + busyLong;
    }

    private int busyShort() {
        return shortRunning.size();
    }

    /**
     * Checks whether requests were already removed that {@link #takeExpired} will return.
     *
     * @return true if there is at least one; waiting requests that have expired since are not counted
     */
    public boolean hasDisplaced() {
        return !displaced.isEmpty();
    }

    /**
     * Returns the number of running long requests.
     *
     * @return the count, including short requests reclassified as long
     */
    public int busyLong() {
        return busyLong;
    }

    /**
     * Returns the maximum number of slots that long requests may hold together.
     *
     * @param slots the total number of slots
     * @return the limit, at least 1 unless there are no slots
     */
    public int longSlots(int slots) {
        return Math.max(slots > 0 ? 1 : 0, slots * (PERCENT - rule.shortSlotsPercent()) / PERCENT);
    }

    /** Returns the rule's limit, or less while short work needs more; a few slots always remain for long work. */
    private int longSlotsNow(int slots, long nowUs) {
        int least = Math.max(slots > 0 ? 1 : 0, slots * MIN_LONG_PERCENT / PERCENT);
        int left = Math.max(least, slots - shortDemand.slotsToReserve(nowUs));
        return Math.min(longSlots(slots), left);
    }

    private boolean isLong(RunTimeEstimate estimate) {
        return estimate.p90Us() > shortRunUs();
    }

    private int laneSlots(boolean isLong, int slots, long nowUs) {
        if (isLong) {
            return Math.max(1, Math.min(longSlotsNow(slots, nowUs), slots - busyShort()));
        }
        return Math.max(1, slots - busyLong);
    }

    private long predictWaitUs(FairLane<T> lane, int laneSlots, Arrival<T> arrival, RunTimeEstimate estimate) {
        int busy = lane == longLane ? busyLong : busyShort();
        if (lane.size() == 0 && busy < laneSlots) {
            return 0;
        }
        long latestStartUs = arrival.deadlineUs() - estimate.p90Us();
        long aheadUs = lane.aheadUs(arrival.tenant(), latestStartUs);
        long queueUs = WaitPredictor.waitUs(lane.queuedUs(), aheadUs, lane.shareOf(arrival.tenant()), laneSlots);
        long slotFreesUs = estimate.meanUs() / laneSlots;
        return queueUs + Math.max(1, slotFreesUs);
    }

    private boolean makeRoom(String tenant) {
        TenantRule tenantRule = tenants.apply(tenant);
        int own = shortLane.sizeOf(tenant) + longLane.sizeOf(tenant);
        if (own >= tenantRule.maxQueued()) {
            return false;
        }
        if (size() < rule.maxQueued()) {
            return true;
        }
        double perWeight = (own + 1.0) / Math.max(1, tenantRule.weight());
        FairLane<T> larger = shortLane.size() >= longLane.size() ? shortLane : longLane;
        Optional<QueuedRequest<T>> removed = larger.displaceAbove(perWeight);
        removed.ifPresent(displaced::add);
        return removed.isPresent();
    }

    private Offer<T> refuse(ErrorKind why, long waitUs, RunTimeEstimate estimate, int laneSlots, long nowUs) {
        double perSecond = RETRY_SHARE * laneSlots * 1_000_000.0 / Math.max(1, estimate.meanUs());
        long delayMs = returns.nextDelayMs(nowUs / 1000, waitUs / 1000, perSecond);
        return new Offer<>(Verdict.refused(why, waitUs, delayMs), Optional.empty());
    }

    private FairLane<T> nextLane(int slots, long nowUs) {
        if (busyLong >= longSlotsNow(slots, nowUs)) {
            return shortLane;
        }
        Optional<QueuedRequest<T>> nextShort = shortLane.peek();
        Optional<QueuedRequest<T>> nextLong = longLane.peek();
        if (nextShort.isEmpty() || nextLong.isEmpty()) {
            return nextShort.isEmpty() ? longLane : shortLane;
        }
        return nextLong.get().latestStartUs() < nextShort.get().latestStartUs() ? longLane : shortLane;
    }

    private void start(QueuedRequest<T> request, long nowUs) {
        request.start(nowUs);
        if (request.isLong()) {
            busyLong++;
        } else {
            shortRunning.add(request);
            oldestStartUs = Math.min(oldestStartUs, nowUs);
        }
    }

    private void expire(FairLane<T> lane, long nowUs) {
        Optional<QueuedRequest<T>> expired = lane.pollExpired(nowUs);
        while (expired.isPresent()) {
            displaced.add(expired.get());
            expired = lane.pollExpired(nowUs);
        }
    }

    /** Checks whether a short request may have exceeded the short run time; if false, none has. */
    private boolean mayHaveStragglers(long nowUs) {
        return nowUs < oldestStartUs || nowUs - oldestStartUs > shortRunUs();
    }

    /** Reclassifies short requests that exceeded the short run time as long, in the order of their start. */
    private void reclassifyStragglers(long nowUs) {
        if (!mayHaveStragglers(nowUs)) {
            return;
        }
        oldestStartUs = nowUs;
        List<QueuedRequest<T>> stragglers = new ArrayList<>();
        for (QueuedRequest<T> request : shortRunning) {
            if (nowUs - request.startedUs() > shortRunUs()) {
                stragglers.add(request);
            } else {
                oldestStartUs = Math.min(oldestStartUs, request.startedUs());
            }
        }
        stragglers.sort(Comparator.comparingLong(QueuedRequest::startedUs));
        stragglers.forEach(request -> reclassifyAsLong(request, nowUs));
    }

    private void reclassifyAsLong(QueuedRequest<T> straggler, long nowUs) {
        straggler.becomeLong();
        shortRunning.remove(straggler);
        busyLong++;
        runTimes.record(rule.name(), straggler.kind(), nowUs - straggler.startedUs());
    }

    private long shortRunUs() {
        return rule.shortRunMs() * 1000;
    }
}
