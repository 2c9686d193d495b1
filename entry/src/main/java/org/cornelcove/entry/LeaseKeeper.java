package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.RangeGrant;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.rule.RuleSet;

/**
 * Keeps the entry's lease alive and the {@link EntryView} current.
 *
 * <p>A heartbeat goes out every 250 ms. The lease that its answer grants is counted from the instant at which the
 * heartbeat was <em>sent</em>, on the own monotonic clock; the leader counts from when it received it, which is later,
 * so the entry stops before the leader gives its targets away. An entry that was frozen finds its lease over when it
 * goes on, since every request reads the clock first.
 *
 * <p>Announcements heard here since the last heartbeat that was answered go along with the next one, with their age.
 * After a heartbeat that was refused or not answered all announcements go along that are young enough to count, told
 * before or not: the leader may be a new one, which knows none and grants no lease for targets that it has not heard of.
 * A heartbeat without an answer is given up after a while; an answer that is older than one already applied is dropped.
 */
final class LeaseKeeper implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(LeaseKeeper.class.getName());
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long ANSWER_TIMEOUT_MS = 1_000;

    private final EntrySettings settings;
    private final ControlLink control;
    private final TargetClient client;
    private final LongSupplier nowNs;
    private final Runnable onChange;
    private final AtomicReference<EntryView> view = new AtomicReference<>(EntryView.initial());
    /** The newest announcement of each target that was heard here. */
    private final Map<TargetId, Heard> heard = new ConcurrentHashMap<>();

    /** What the current leader was told, as far as an answer shows it; dropped when a heartbeat fails. */
    private final Map<TargetId, Heard> told = new ConcurrentHashMap<>();

    private final ScheduledExecutorService beats = Executors.newSingleThreadScheduledExecutor(LeaseKeeper::thread);

    /** Targets that are owned, or were and still run something. */
    private final Map<TargetId, OwnedTarget> known = new HashMap<>();

    /** Targets that came back under another address while something ran at the old one. */
    private final List<OwnedTarget> replaced = new ArrayList<>();

    private volatile String httpAddress = "";
    private volatile boolean draining;
    private boolean waiting;
    private long sequence;
    private long appliedSequence;
    private boolean reportedLeased;

    private record Heard(TargetAnnouncement announcement, long atNs) {}

    LeaseKeeper(
            EntrySettings settings, ControlLink control, TargetClient client, LongSupplier nowNs, Runnable onChange) {
        this.settings = settings;
        this.control = control;
        this.client = client;
        this.nowNs = nowNs;
        this.onChange = onChange;
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "entry-lease");
        thread.setDaemon(true);
        return thread;
    }

    void start(String callerAddress) {
        httpAddress = callerAddress;
        beats.scheduleWithFixedDelay(this::beat, 0, settings.heartbeatMs(), TimeUnit.MILLISECONDS);
    }

    EntryView view() {
        return view.get();
    }

    /** From now on the heartbeats ask the leader to hand over what this entry owns. */
    void handOver() {
        draining = true;
    }

    /** Takes in an announcement; one that says leaving takes effect here at once. */
    void hear(TargetAnnouncement announcement) {
        long now = nowNs.getAsLong();
        heard.put(announcement.target(), new Heard(announcement, now));
        for (OwnedTarget owned : view.get().targetsOf(announcement.service())) {
            if (owned.id().equals(announcement.target()) && owned.isSame(new TargetGrant(announcement, 0, 0, 0, 0))) {
                owned.hear(announcement, now);
                onChange.run();
            }
        }
    }

    private synchronized void beat() {
        try {
            noteLease();
            if (waiting) {
                return;
            }
            send();
        } catch (RuntimeException e) {
            LOGGER.log(System.Logger.Level.ERROR, "a heartbeat could not be sent", e);
        }
    }

    private void send() {
        long sentNs = nowNs.getAsLong();
        heard.values().removeIf(one -> sentNs - one.atNs > settings.targetSilenceMs() * NANOS_PER_MS);
        told.keySet().retainAll(heard.keySet());
        List<Heard> untold = heard.values().stream()
                .filter(one -> !one.equals(told.get(one.announcement.target())))
                .toList();
        CompletableFuture<EntryLease> answer = control.heartbeat(heartbeat(untold, sentNs));
        long number = ++sequence;
        waiting = true;
        answer.copy()
                .orTimeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .whenComplete((lease, error) -> answered(number, sentNs, untold, Optional.ofNullable(lease)));
    }

    private EntryHeartbeat heartbeat(List<Heard> untold, long sentNs) {
        List<HeardTarget> targets = new ArrayList<>(untold.size());
        for (Heard one : untold) {
            targets.add(new HeardTarget(one.announcement, (sentNs - one.atNs) / NANOS_PER_MS));
        }
        return new EntryHeartbeat(
                settings.entry(),
                settings.incarnation(),
                settings.availabilityZone(),
                settings.rpcAddress(),
                httpAddress,
                view.get().configurationVersion(),
                draining,
                targets);
    }

    private void answered(long number, long sentNs, List<Heard> sent, Optional<EntryLease> lease) {
        synchronized (this) {
            if (number == sequence) {
                waiting = false;
            }
            if (lease.isEmpty()) {
                told.clear();
            }
            if (lease.isEmpty() || number < appliedSequence) {
                return;
            }
            appliedSequence = number;
            sent.forEach(one -> told.put(one.announcement.target(), one));
            apply(lease.get(), sentNs);
            noteLease();
        }
        onChange.run();
    }

    private void apply(EntryLease lease, long sentNs) {
        long now = nowNs.getAsLong();
        EntryView old = view.get();
        boolean newRules = lease.rules().isPresent() && lease.configurationVersion() > old.configurationVersion();
        RuleSet rules = newRules ? lease.rules().get() : old.rules();
        Map<String, List<OwnedTarget>> targets = targets(lease.targets(), sentNs, now);
        view.set(new EntryView(
                true,
                sentNs + lease.leaseMs() * NANOS_PER_MS,
                newRules ? lease.configurationVersion() : old.configurationVersion(),
                rules,
                targets,
                ranges(old, lease.ranges(), now),
                List.copyOf(lease.peers())));
        closeUnused(targets);
    }

    private Map<String, List<OwnedTarget>> targets(List<TargetGrant> grants, long sentNs, long now) {
        Map<String, List<OwnedTarget>> byService = new HashMap<>();
        for (TargetGrant grant : grants) {
            OwnedTarget target = known.get(grant.target().target());
            if (target != null && target.isSame(grant)) {
                target.renew(grant, sentNs, now);
            } else {
                if (target != null) {
                    replaced.add(target);
                }
                target = OwnedTarget.open(grant, client, sentNs, now);
                known.put(target.id(), target);
            }
            byService
                    .computeIfAbsent(grant.target().service(), name -> new ArrayList<>())
                    .add(target);
        }
        return byService;
    }

    private static Map<Integer, EntryView.OwnedRange> ranges(EntryView old, List<RangeGrant> grants, long now) {
        Map<Integer, EntryView.OwnedRange> ranges = new HashMap<>();
        for (RangeGrant grant : grants) {
            EntryView.OwnedRange before = old.ranges().get(grant.range());
            long servableNs = now + grant.waitMs() * NANOS_PER_MS;
            boolean same = before != null && before.epoch() == grant.epoch();
            ranges.put(
                    grant.range(),
                    same && before.servableFromNs() - servableNs < 0
                            ? before
                            : new EntryView.OwnedRange(grant.epoch(), servableNs));
        }
        return ranges;
    }

    /** Forgets targets that are no longer owned once nothing of theirs runs; till then their slots stay counted. */
    private void closeUnused(Map<String, List<OwnedTarget>> owned) {
        known.values().removeIf(target -> {
            boolean unused = !owned.getOrDefault(target.service(), List.of()).contains(target) && target.isIdle();
            if (unused) {
                target.close();
            }
            return unused;
        });
        replaced.removeIf(target -> {
            if (target.isIdle()) {
                target.close();
            }
            return target.isIdle();
        });
    }

    private void noteLease() {
        boolean leased = view.get().isLeased(nowNs.getAsLong());
        if (leased != reportedLeased) {
            reportedLeased = leased;
            LOGGER.log(
                    leased ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    leased ? "the lease is held: serving" : "the lease lapsed: taking no new requests");
            onChange.run();
        }
    }

    @Override
    public void close() {
        beats.shutdownNow();
        synchronized (this) {
            known.values().forEach(OwnedTarget::close);
            replaced.forEach(OwnedTarget::close);
        }
    }
}
