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
 * A heartbeat without an answer is given up after a while; an answer that is older than one already applied, or that
 * tells changes of another list of targets than the one held, is dropped.
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
    private final HeardTargets heard;
    private final ScheduledExecutorService beats = Executors.newSingleThreadScheduledExecutor(LeaseKeeper::thread);

    /** Guarded by this. */
    private final TargetList targets;

    private volatile String httpAddress = "";
    private volatile boolean draining;
    private boolean waiting;
    private long sequence;
    private boolean reportedLeased;

    /** Why the last heartbeat brought no lease, empty when it brought one. */
    private volatile Optional<Failure> refusal = Optional.empty();

    LeaseKeeper(
            EntrySettings settings, ControlLink control, TargetClient client, LongSupplier nowNs, Runnable onChange) {
        this.settings = settings;
        this.control = control;
        this.targets = TargetList.empty(client);
        this.heard = HeardTargets.none(settings.targetSilenceMs());
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
        heard.hear(announcement, now);
        for (OwnedTarget owned : view.get().targetsOf(announcement.service())) {
            if (owned.id().equals(announcement.target()) && owned.isSame(new TargetGrant(announcement, 0, 0, 0, 0))) {
                owned.hear(announcement, now);
                onChange.run();
            }
        }
    }

    /** Tells why there is no lease, empty while one is held. */
    Optional<String> whyUnleased() {
        if (view.get().isLeased(nowNs.getAsLong())) {
            return Optional.empty();
        }
        String why = refusal.map(failure -> ": " + failure.message()).orElse("");
        return Optional.of("it holds no lease of the control hosts" + why);
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
        long number = ++sequence;
        List<HeardTargets.Heard> untold = heard.untold(sentNs);
        CompletableFuture<EntryLease> answer = control.heartbeat(heartbeat(untold, sentNs));
        waiting = true;
        answer.copy().orTimeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS).whenComplete((lease, error) -> {
            noteRefusal(Optional.ofNullable(error));
            answered(number, sentNs, untold, Optional.ofNullable(lease));
        });
    }

    private synchronized void noteRefusal(Optional<Throwable> error) {
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

    private EntryHeartbeat heartbeat(List<HeardTargets.Heard> untold, long sentNs) {
        List<HeardTarget> announcements =
                untold.stream().map(one -> one.asOf(sentNs)).toList();
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

    private void answered(long number, long sentNs, List<HeardTargets.Heard> sent, Optional<EntryLease> lease) {
        synchronized (this) {
            if (number == sequence) {
                waiting = false;
            }
            if (lease.isEmpty()) {
                heard.nothingTold();
                return;
            }
            if (!targets.takes(lease.get().targets(), number)) {
                return;
            }
            heard.told(sent);
            apply(lease.get(), number, sentNs);
            noteLease();
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
            targets.close();
        }
    }
}
