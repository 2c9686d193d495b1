package org.cornelcove.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.RangeGrant;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.wire.PeriodicTask;

/**
 * Renews the entry's lease and keeps the {@link EntryView} current.
 *
 * <p>A heartbeat is sent every 250 ms. The lease granted by its answer runs from the instant at which the heartbeat was
 * <em>sent</em>, on the local monotonic clock; the leader counts from its receipt, which is later, so the entry stops
 * before the leader reassigns its targets. An entry that was frozen finds its lease expired when it resumes, since
 * every request reads the clock first.
 *
 * <p>Each heartbeat carries the announcements received since the last answered heartbeat, with their age. After a
 * heartbeat that was refused or not answered, the next one carries all announcements that are recent enough, including
 * those sent before: there may be a new leader, which has none and grants no lease for targets without an announcement.
 * A heartbeat times out after a while; an answer is dropped if it is older than one already applied, or if it contains
 * changes to a different list of targets than the one held.
 */
final class LeaseKeeper implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(LeaseKeeper.class.getName());
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long ANSWER_TIMEOUT_MS = 1_000;

    private final EntrySettings settings;
    private final ControlLink control;
    private final LongSupplier nowNs;
    private final Runnable onChange;
    private final AtomicReference<EntryView> view = new AtomicReference<>(EntryView.initial());
    private final ReceivedAnnouncements received;
    private final ScheduledExecutorService heartbeatTimer =
            Executors.newSingleThreadScheduledExecutor(LeaseKeeper::thread);

    /** Guarded by this. */
    private final TargetList targets;

    private volatile String httpAddress = "";
    private volatile boolean draining;
    private boolean heartbeatPending;
    private long sequence;
    private boolean reportedLeased;

    /** The reason why the last heartbeat was not granted a lease, empty if it was. */
    private volatile Optional<Failure> refusal = Optional.empty();

    LeaseKeeper(
            EntrySettings settings, ControlLink control, TargetClient client, LongSupplier nowNs, Runnable onChange) {
        this.settings = settings;
        this.control = control;
        this.targets = TargetList.empty(client);
        this.received = ReceivedAnnouncements.none(settings.targetSilenceMs());
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
        PeriodicTask.schedule(heartbeatTimer, "heartbeat", this::heartbeatTick, 0, settings.heartbeatMs());
    }

    EntryView view() {
        return view.get();
    }

    /** Makes all further heartbeats ask the leader to reassign the targets and key ranges of this entry. */
    void handOver() {
        draining = true;
    }

    /** Handles an announcement of a target; if it is leaving, this takes effect here immediately. */
    void receive(TargetAnnouncement announcement) {
        long now = nowNs.getAsLong();
        received.add(announcement, now);
        for (OwnedTarget owned : view.get().targetsOf(announcement.service())) {
            if (owned.id().equals(announcement.target()) && owned.isSame(new TargetGrant(announcement, 0, 0, 0, 0))) {
                owned.receive(announcement, now);
                onChange.run();
            }
        }
    }

    /** Returns the reason why there is no lease, empty while one is held. */
    Optional<String> unleasedReason() {
        if (view.get().isLeased(nowNs.getAsLong())) {
            return Optional.empty();
        }
        String why = refusal.map(failure -> ": " + failure.message()).orElse("");
        return Optional.of("it holds no lease from the control hosts" + why);
    }

    private synchronized void heartbeatTick() {
        try {
            reportLeaseChange();
            if (heartbeatPending) {
                return;
            }
            send();
        } catch (RuntimeException e) {
            LOGGER.log(System.Logger.Level.ERROR, "a heartbeat could not be sent", e);
        }
    }

    private void send() {
        long sentNs = nowNs.getAsLong();
        long number = ++sequence;
        List<ReceivedAnnouncements.Received> unacknowledged = received.unacknowledged(sentNs);
        CompletableFuture<EntryLease> answer = control.heartbeat(heartbeat(unacknowledged, sentNs));
        heartbeatPending = true;
        answer.copy().orTimeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS).whenComplete((lease, error) -> {
            updateRefusal(Optional.ofNullable(error));
            onAnswer(number, sentNs, unacknowledged, Optional.ofNullable(lease));
        });
    }

    private synchronized void updateRefusal(Optional<Throwable> error) {
        Optional<Failure> now = error.map(LeaseKeeper::failureOf);
        boolean changed = !now.map(Failure::kind).equals(refusal.map(Failure::kind));
        refusal = now;
        if (changed && now.isPresent()) {
            LOGGER.log(System.Logger.Level.WARNING, "no lease: {0}", now.get().message());
        }
    }

    private static Failure failureOf(Throwable error) {
        return FailureException.carriedBy(error)
                .orElseGet(() -> Failure.of(ErrorKind.CALL_TIMEOUT, "the leader", ANSWER_TIMEOUT_MS));
    }

    private EntryHeartbeat heartbeat(List<ReceivedAnnouncements.Received> unacknowledged, long sentNs) {
        List<HeardTarget> announcements =
                unacknowledged.stream().map(one -> one.asOf(sentNs)).toList();
        return new EntryHeartbeat(
                settings.entry(),
                settings.incarnation(),
                settings.availabilityZone(),
                settings.rpcAddress(),
                httpAddress,
                view.get().configurationVersion(),
                draining,
                announcements,
                sequence,
                targets.number());
    }

    private void onAnswer(
            long number, long sentNs, List<ReceivedAnnouncements.Received> sent, Optional<EntryLease> lease) {
        synchronized (this) {
            if (number == sequence) {
                heartbeatPending = false;
            }
            if (lease.isEmpty()) {
                received.clearAcknowledged();
                return;
            }
            if (!targets.isApplicable(lease.get().targets(), number)) {
                return;
            }
            received.acknowledge(sent);
            apply(lease.get(), number, sentNs);
            reportLeaseChange();
        }
        onChange.run();
    }

    private void apply(EntryLease lease, long number, long sentNs) {
        long now = nowNs.getAsLong();
        EntryView old = view.get();
        boolean newRules = lease.rules().isPresent() && lease.configurationVersion() > old.configurationVersion();
        RuleSet rules = newRules ? lease.rules().get() : old.rules();
        Map<String, List<OwnedTarget>> owned = targets.apply(lease.targets(), number, sentNs, now);
        view.set(new EntryView(
                true,
                sentNs + lease.leaseMs() * NANOS_PER_MS,
                newRules ? lease.configurationVersion() : old.configurationVersion(),
                rules,
                owned,
                ranges(old, lease.ranges(), now),
                List.copyOf(lease.peers())));
        targets.closeUnused(owned);
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

    private void reportLeaseChange() {
        boolean leased = view.get().isLeased(nowNs.getAsLong());
        if (leased != reportedLeased) {
            reportedLeased = leased;
            LOGGER.log(
                    leased ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    leased ? "the lease is valid: serving" : "the lease expired: refusing new requests");
            onChange.run();
        }
    }

    @Override
    public void close() {
        heartbeatTimer.shutdownNow();
        synchronized (this) {
            targets.close();
        }
    }
}
