package org.cornelcove.policy.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
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
 * <p>Use: {@code offer} at arrival; whenever a target has a free slot {@code poll}; {@code finished} when a run ended;
 * {@code takeExpired} after each poll. Not thread-safe: the entry guards it by one lock or confines it.
 *
 * @param <T> what the caller attaches to each request
 */
public final class RequestQueue<T> {
    private static final double RETURN_SHARE = 0.25;
    private static final double WAIT_MARGIN = 1.6;
    private static final int MIN_LONG_PERCENT = 10;
    private static final int PERCENT = 100;

    private final Function<String, TenantRule> tenants;
    private final RunTimes runTimes;
    private final ReturnSpread returns;
    private final FairLane<T> shortLane;
    private final FairLane<T> longLane;
    private final Deque<Waiting<T>> shortRunning = new ArrayDeque<>();
    private final ShortDemand shortDemand = new ShortDemand();
    private final List<Waiting<T>> displaced = new ArrayList<>();
    private ServiceRule rule;
    private long sequence;
    private int busyShort;
    private int busyLong;

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
        if (busyShort + busyLong >= slots) {
            return Optional.empty();
        }
        Optional<Waiting<T>> next = nextLane(slots, nowUs).poll();
        next.ifPresent(request -> start(request, nowUs));
        return next;
    }

    /**
     * Notes that a run ended, whatever its outcome.
     *
     * @param request the request as taken by {@link #poll}
     * @param ran whether the target ran it, so that its run time is worth learning
     * @param nowUs the current instant
     */
    public void finished(Waiting<T> request, boolean ran, long nowUs) {
        if (!request.isRunning()) {
            return;
        }
        request.end();
        long runUs = nowUs - request.startedUs();
        if (request.isLong()) {
            busyLong--;
        } else {
            busyShort--;
            shortRunning.remove(request);
        }
        FairLane<T> lane = request.wasQueuedLong() ? longLane : shortLane;
        lane.settle(request.tenant(), runUs - request.expectedUs());
        if (ran) {
            runTimes.record(rule.name(), request.kind(), runUs);
        }
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
        return estimate.p90Us() > rule.shortRunMs() * 1000;
    }

    private int laneSlots(boolean isLong, int slots, long nowUs) {
        if (isLong) {
            return Math.max(1, Math.min(longSlotsNow(slots, nowUs), slots - busyShort));
        }
        return Math.max(1, slots - busyLong);
    }

    private long predictWaitUs(FairLane<T> lane, int laneSlots, Arrival<T> arrival, RunTimeEstimate estimate) {
        int busy = lane == longLane ? busyLong : busyShort;
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
            busyShort++;
            shortRunning.add(request);
        }
    }

    private void expire(FairLane<T> lane, long nowUs) {
        Optional<Waiting<T>> expired = lane.pollExpired(nowUs);
        while (expired.isPresent()) {
            displaced.add(expired.get());
            expired = lane.pollExpired(nowUs);
        }
    }

    /** Counts short requests that ran on as long. They run in the order of their start, so only the first are looked at. */
    private void reclassifyStragglers(long nowUs) {
        long limitUs = rule.shortRunMs() * 1000;
        while (!shortRunning.isEmpty() && nowUs - shortRunning.peek().startedUs() > limitUs) {
            Waiting<T> straggler = shortRunning.poll();
            straggler.becomeLong();
            busyShort--;
            busyLong++;
            runTimes.record(rule.name(), straggler.kind(), nowUs - straggler.startedUs());
        }
    }
}
