package org.cornelcove.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimInProgress;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ClaimReplayed;
import org.cornelcove.model.command.ClaimUnknown;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.message.RangeGrant;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.request.RecordedAnswer;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;

/** A fake leader with an in-memory ledger and leases set by the test. */
final class FakeControl implements ControlLink {
    static final String SERVICE = "booking";

    final List<Command> commands = new CopyOnWriteArrayList<>();
    final List<EntryHeartbeat> heartbeats = new CopyOnWriteArrayList<>();
    volatile Supplier<List<TargetGrant>> targets = List::of;
    volatile List<RangeGrant> ranges = allRanges();
    volatile List<PeerEntry> peers = List.of();
    volatile boolean reachable = true;
    /** The failure with which heartbeats are refused, empty if they are granted a lease. */
    volatile Optional<Failure> refusal = Optional.empty();
    /** Whether targets and key ranges of a draining entry are reassigned. */
    volatile boolean takenOver = true;

    volatile long leaseMs = 2_000;
    volatile UnaryOperator<CompletableFuture<Outcome>> onExecute = outcome -> outcome;
    volatile ServiceRule service = rule(2_000, 1 << 20, 100);
    private final Map<String, Claim> claims = new HashMap<>();
    private volatile long silentSinceNs;
    private long index;

    private record Claim(ClaimOnce claim, Optional<RecordedAnswer> answer, boolean unknown) {}

    static ServiceRule rule(long deadlineMs, long maxBodyBytes, int maxQueued) {
        return new ServiceRule(
                SERVICE, "/", RequestClass.EXCLUSIVE, deadlineMs, 60_000, maxBodyBytes, maxQueued, 100, 25);
    }

    static List<RangeGrant> allRanges() {
        return IntStream.range(0, ExclusiveKeys.RANGES)
                .mapToObj(range -> new RangeGrant(range, 1, 0))
                .toList();
    }

    /** Grants targets; each answer to a heartbeat contains their current announcements. */
    void grant(Supplier<List<TargetAnnouncement>> announcements) {
        targets = () -> announcements.get().stream()
                .map(one -> new TargetGrant(one, 1, 0, 0, 0))
                .toList();
    }

    /** Grants targets with constant announcements. */
    void grant(TargetAnnouncement... announcements) {
        List<TargetAnnouncement> all = List.of(announcements);
        grant(() -> all);
    }

    /** Stops the announcements of all targets; their age increases from now on. */
    void silenceTargets() {
        List<TargetGrant> last = targets.get();
        targets = () -> last;
        silentSinceNs = System.nanoTime();
    }

    long silentMs() {
        return silentSinceNs == 0 ? 0 : (System.nanoTime() - silentSinceNs) / 1_000_000;
    }

    @Override
    public synchronized CompletableFuture<Outcome> execute(Command command) {
        commands.add(command);
        return onExecute.apply(CompletableFuture.completedFuture(apply(command)));
    }

    private Outcome apply(Command command) {
        index++;
        if (command instanceof ClaimOnce claim) {
            return claim(claim);
        }
        if (command instanceof RecordOutcome record) {
            claims.computeIfPresent(
                    record.key(),
                    (key, old) -> new Claim(
                            old.claim, record.answer(), record.answer().isEmpty()));
        } else if (command instanceof ReleaseClaim release) {
            boolean held = claims.remove(release.key()) != null;
            return held ? new Done(index) : new Refused(Failure.of(ErrorKind.CLAIM_NOT_HELD, release.key(), ""));
        }
        return new Done(index);
    }

    private Outcome claim(ClaimOnce wanted) {
        Claim claim = claims.get(wanted.key());
        if (claim == null) {
            claims.put(wanted.key(), new Claim(wanted, Optional.empty(), false));
            return new ClaimGranted(index);
        }
        if (!claim.claim.digest().equals(wanted.digest())) {
            return new Refused(Failure.of(ErrorKind.KEY_REUSED, wanted.key()));
        }
        if (claim.claim.equals(wanted) && claim.answer.isEmpty() && !claim.unknown) {
            return new ClaimGranted(index);
        }
        if (claim.unknown) {
            return new ClaimUnknown(index);
        }
        return claim.answer.<Outcome>map(ClaimReplayed::new).orElseGet(() -> new ClaimInProgress(claim.claim.entry()));
    }

    @Override
    public CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat) {
        heartbeats.add(heartbeat);
        if (!reachable) {
            return new CompletableFuture<>();
        }
        if (refusal.isPresent()) {
            return CompletableFuture.failedFuture(refusal.get().asException());
        }
        boolean handedOver = heartbeat.draining() && takenOver;
        List<TargetGrant> granted = handedOver
                ? List.of()
                : targets.get().stream()
                        .map(one -> new TargetGrant(
                                one.target(),
                                one.epoch(),
                                one.silentMs() + silentMs(),
                                one.previousOverMs() + silentMs(),
                                one.previousHoldMs()))
                        .toList();
        return CompletableFuture.completedFuture(new EntryLease(
                leaseMs, 1, Optional.of(rules()), GrantChanges.whole(granted), handedOver ? List.of() : ranges, peers));
    }

    private RuleSet rules() {
        SortedMap<String, ServiceRule> services = new TreeMap<>(Map.of(SERVICE, service));
        return new RuleSet(services, new TreeMap<>(), new TreeMap<>(), BatchRule.DEFAULT);
    }
}
