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
 * The queue of one service at one entry: decides at arrival, orders what waits, and keeps slots free for short work.
 *
 * <p>A request is short when nine of ten runs of its kind end within the rule's {@code shortRunMs}. Short and long
 * requests wait in separate lanes, each shared fairly between tenants. Long requests together hold at most
 * {@code 100 - shortSlotsPercent} per cent of the slots, and less while short work needs more, see {@link ShortDemand}; below that bound the lane whose next request has the nearer
 * latest useful start goes first. A short request that runs past {@code shortRunMs} counts as long from then on, and
 * its running time is learned at once, so that the next of its kind is not taken for short.
 *
 * <p>At arrival a request is refused when it could not be answered in time, when the queue is full, or when there is no
 * slot at all. A refusal names the instant to come back; see {@link ReturnSpread}. A request whose latest useful start
 * passes while it waits is given back by {@link #takeExpired}: nothing of it was sent anywhere.
 *
 * <p>One sorted queue for all was the alternative. It lost because a few long requests fill every slot in a quiet
 * moment, after which short ones wait for a whole long run whatever the order of the queue.
 *
 * <p>Use: {@code startNow} and else {@code offer} at arrival; whenever a target has a free slot {@code poll}; {@code finished} when a run ended;
 * {@code takeExpired} after each poll.
 *
 * <p>Threads: one alone, but for {@link #admitShared}, {@link #startShared} and {@link #finishShared}, which several threads may call at once
 * while none is in any other method; a lock with a shared and an exclusive mode does that. They serve the usual case,
 * short work while nothing waits. There every start is allowed that has a slot, and neither starts nor endings ask for
 * an order among themselves: whatever their order, the queue is the same afterwards. All that does ask for one (long
 * work, a lane that isn't empty, a short run that has become long) they leave to the exclusive methods. One lock for
 * all was the alternative. It lost in the benchmark {@code relay}: with more threads than cores its holder is often not
 * running, and all others wait for it.
 *
 * @param <T> what the caller attaches to each request
 */
public final class RequestQueue<T> {
    private static final double RETURN_SHARE = 0.25;
    private static final double WAIT_MARGIN = 1.6;
    private static final int MIN_LONG_PERCENT = 10;
    private static final int PERCENT = 100;
    /** The place in the order of arrival of requests that never stand in it. */
    private static final long NEVER_QUEUED = -1;

    private final Function<String, TenantRule> tenants;
    private final RunTimes runTimes;
    private final ReturnSpread returns;
    private final FairLane<T> shortLane;
    private final FairLane<T> longLane;
    private final Set<Waiting<T>> shortRunning = ConcurrentHashMap.newKeySet();
    private final ShortDemand shortDemand = new ShortDemand();
    private final List<Waiting<T>> displaced = new ArrayList<>();
    private ServiceRule rule;
    private long sequence;
    private int busyLong;
    /** No request that runs as short was started before this instant. */
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
     * @param <T> what the caller attaches to each request
     * @param rule the service's rule
     * @param tenants gives the rule of a tenant, a default one for a tenant without
     * @param runTimes learned run times, shared between queues
     * @param seed of the spread of returns
     * @return the queue
     */
    public static <T> RequestQueue<T> of(
            ServiceRule rule, Function<String, TenantRule> tenants, RunTimes runTimes, long seed) {
        return new RequestQueue<>(rule, tenants, runTimes, seed);
    }

    /**
     * Takes in a new configuration; what waits stays in its lane.
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
     * @param slots the slots of all targets that may be used now
     * @param nowUs the current instant
     * @return the decision
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
        boolean inTime =
                waitUs == 0 ? estimate.p90Us() <= remainingUs : WAIT_MARGIN * waitUs + estimate.p99Us() <= remainingUs;
        if (!inTime) {
            return refuse(ErrorKind.DEADLINE_UNREACHABLE, waitUs, estimate, laneSlots, nowUs);
        }
        if (!makeRoom(arrival.tenant())) {
            return refuse(ErrorKind.QUEUE_FULL, waitUs, estimate, laneSlots, nowUs);
        }
        Waiting<T> request = new Waiting<>(arrival, estimate, isLong, sequence++);
        lane.add(request);
        if (!isLong) {
            shortDemand.note(estimate.meanUs(), nowUs);
        }
        return new Offer<>(Verdict.admitted(waitUs), Optional.of(request));
    }

    /**
     * Starts a request at once, without a place in the queue, when a slot is free that nothing waiting may take. Its
     * deadline is not weighed against the learned run time: the slot would be idle, and a kind that was slow for a
     * while would otherwise never be learned anew.
     *
     * @param arrival the request
     * @param slots the slots of all targets that may be used now
     * @param nowUs the current instant
     * @return the running request; empty when it must be offered
     */
    public Optional<Waiting<T>> startNow(Arrival<T> arrival, int slots, long nowUs) {
        reclassifyStragglers(nowUs);
        boolean longAllowed = busyLong < longSlotsNow(slots, nowUs);
        boolean othersFirst = shortLane.size() > 0 || longAllowed && longLane.size() > 0;
        if (othersFirst || busy() >= slots) {
            return Optional.empty();
        }
        RunTimeEstimate estimate = runTimes.estimate(rule.name(), arrival.kind(), arrival.declaredRunUs());
        boolean isLong = isLong(estimate);
        if (isLong && !longAllowed) {
            return Optional.empty();
        }
        Waiting<T> request = new Waiting<>(arrival, estimate, isLong, sequence++);
        start(request, nowUs);
        if (!isLong) {
            shortDemand.note(estimate.meanUs(), nowUs);
        }
        return Optional.of(request);
    }

    /**
     * Decides as {@link #startNow} would, by several threads at once, on short work while nothing waits: such a request
     * may start if there is a slot. {@link #startShared} follows once a slot was taken, without the lock's mode changing
     * in between.
     *
     * @param arrival the request
     * @param newRule the service's rule as the request knows it
     * @param nowUs the current instant
     * @return the request, not started yet; empty when {@code startNow} has to decide
     */
    public Optional<Waiting<T>> admitShared(Arrival<T> arrival, ServiceRule newRule, long nowUs) {
        if (size() > 0 || !newRule.equals(rule) || anyStraggler(nowUs) || !shortDemand.isShareable(nowUs)) {
            return Optional.empty();
        }
        RunTimeEstimate estimate = runTimes.estimate(rule.name(), arrival.kind(), arrival.declaredRunUs());
        return isLong(estimate) ? Optional.empty() : Optional.of(new Waiting<>(arrival, estimate, false, NEVER_QUEUED));
    }

    /**
     * Notes that a request of {@link #admitShared} starts.
     *
     * @param request the request
     * @param nowUs the instant given there
     */
    public void startShared(Waiting<T> request, long nowUs) {
        request.start(nowUs);
        shortRunning.add(request);
        shortDemand.noteShared(request.expectedUs(), nowUs);
    }

    /**
     * Does what {@link #finished} would, by several threads at once, for short work while nothing waits: without anybody
     * in a lane there is nobody to be charged.
     *
     * @param request the request as taken by {@link #startShared}, {@link #startNow} or {@link #poll}
     * @return whether it is noted; otherwise {@code finished} has to be called
     */
    public boolean finishShared(Waiting<T> request) {
        if (size() > 0 || request.isLong()) {
            return false;
        }
        if (shortRunning.remove(request)) {
            request.end();
        }
        return true;
    }

    /**
     * Takes the request that starts now. The caller has chosen a target with a free slot before.
     *
     * @param slots the slots of all targets that may be used now
     * @param nowUs the current instant
     * @return the request; empty when none may start
     */
    public Optional<Waiting<T>> poll(int slots, long nowUs) {
        reclassifyStragglers(nowUs);
        expire(shortLane, nowUs);
        expire(longLane, nowUs);
        if (busy() >= slots) {
            return Optional.empty();
        }
        Optional<Waiting<T>> next = nextLane(slots, nowUs).poll();
        next.ifPresent(request -> start(request, nowUs));
        return next;
    }

    /**
     * Notes that a run ended, whatever its outcome. A run time worth learning is recorded by the caller, who need not
     * hold the queue's lock for it.
     *
     * @param request the request as taken by {@link #startNow} or {@link #poll}
     * @param nowUs the current instant
     */
    public void finished(Waiting<T> request, long nowUs) {
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
        lane.settle(request.tenant(), runUs - request.expectedUs());
    }

    /**
     * Takes a request out of the queue because its caller is gone.
     *
     * @param request the request
     * @return whether it was still waiting
     */
    public boolean cancel(Waiting<T> request) {
        return shortLane.remove(request) || longLane.remove(request);
    }

    /**
     * Takes the requests that can no longer be answered in time, or were displaced by a tenant below its share.
     *
     * @param nowUs the current instant
     * @return the requests; none of them was sent anywhere
     */
    public List<Waiting<T>> takeExpired(long nowUs) {
        expire(shortLane, nowUs);
        expire(longLane, nowUs);
        List<Waiting<T>> taken = List.copyOf(displaced);
        displaced.clear();
        return taken;
    }

    /**
     * Returns how many requests wait.
     *
     * @return how many
     */
    public int size() {
        return shortLane.size() + longLane.size();
    }

    /**
     * Returns how many requests run.
     *
     * @return how many
     */
    public int busy() {
        return busyShort() + busyLong;
    }

    private int busyShort() {
        return shortRunning.size();
    }

    /**
     * Returns whether {@link #takeExpired} has something to give back already.
     *
     * @return whether it has
     */
    public boolean hasDisplaced() {
        return !displaced.isEmpty();
    }

    /**
     * Returns how many long requests run, stragglers included.
     *
     * @return how many
     */
    public int busyLong() {
        return busyLong;
    }

    /**
     * Returns how many slots long requests may hold together at most.
     *
     * @param slots all slots
     * @return how many
     */
    public int longSlots(int slots) {
        return Math.max(slots > 0 ? 1 : 0, slots * (PERCENT - rule.shortSlotsPercent()) / PERCENT);
    }

    /** The bound of the rule, or less while short work needs more; a few slots always remain for long work. */
    private int longSlotsNow(int slots, long nowUs) {
        int least = Math.max(slots > 0 ? 1 : 0, slots * MIN_LONG_PERCENT / PERCENT);
        int left = Math.max(least, slots - shortDemand.slotsToKeep(nowUs));
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
        Optional<Waiting<T>> out = larger.displace(perWeight);
        out.ifPresent(displaced::add);
        return out.isPresent();
    }

    private Offer<T> refuse(ErrorKind why, long waitUs, RunTimeEstimate estimate, int laneSlots, long nowUs) {
        double perSecond = RETURN_SHARE * laneSlots * 1_000_000.0 / Math.max(1, estimate.meanUs());
        long delayMs = returns.nextDelayMs(nowUs / 1000, waitUs / 1000, perSecond);
        return new Offer<>(Verdict.refused(why, waitUs, delayMs), Optional.empty());
    }

    private FairLane<T> nextLane(int slots, long nowUs) {
        if (busyLong >= longSlotsNow(slots, nowUs)) {
            return shortLane;
        }
        Optional<Waiting<T>> nextShort = shortLane.peek();
        Optional<Waiting<T>> nextLong = longLane.peek();
        if (nextShort.isEmpty() || nextLong.isEmpty()) {
            return nextShort.isEmpty() ? longLane : shortLane;
        }
        return nextLong.get().latestStartUs() < nextShort.get().latestStartUs() ? longLane : shortLane;
    }

    private void start(Waiting<T> request, long nowUs) {
        request.start(nowUs);
        if (request.isLong()) {
            busyLong++;
        } else {
            shortRunning.add(request);
            oldestStartUs = Math.min(oldestStartUs, nowUs);
        }
    }

    private void expire(FairLane<T> lane, long nowUs) {
        Optional<Waiting<T>> expired = lane.pollExpired(nowUs);
        while (expired.isPresent()) {
            displaced.add(expired.get());
            expired = lane.pollExpired(nowUs);
        }
    }

    /** Tells whether a short request may have run on beyond the bound; none has while this says no. */
    private boolean anyStraggler(long nowUs) {
        return nowUs < oldestStartUs || nowUs - oldestStartUs > shortRunUs();
    }

    /** Counts short requests that ran on as long, in the order of their start. */
    private void reclassifyStragglers(long nowUs) {
        if (!anyStraggler(nowUs)) {
            return;
        }
        oldestStartUs = nowUs;
        List<Waiting<T>> stragglers = new ArrayList<>();
        for (Waiting<T> request : shortRunning) {
            if (nowUs - request.startedUs() > shortRunUs()) {
                stragglers.add(request);
            } else {
                oldestStartUs = Math.min(oldestStartUs, request.startedUs());
            }
        }
        stragglers.sort(Comparator.comparingLong(Waiting::startedUs));
        stragglers.forEach(request -> becomeLong(request, nowUs));
    }

    private void becomeLong(Waiting<T> straggler, long nowUs) {
        straggler.becomeLong();
        shortRunning.remove(straggler);
        busyLong++;
        runTimes.record(rule.name(), straggler.kind(), nowUs - straggler.startedUs());
    }

    private long shortRunUs() {
        return rule.shortRunMs() * 1000;
    }
}
