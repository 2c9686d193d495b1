package org.cornelcove.bench.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.cornelcove.entry.ControlLink;
import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.RangeGrant;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;

/** A leader that owns one service, grants what it is told, and decides each command at once. */
final class BenchControl implements ControlLink {
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 60;
    private static final int RANGES = 64;

    private final List<TargetGrant> targets = new ArrayList<>();
    private final List<RangeGrant> ranges = new ArrayList<>();
    private final AtomicLong index = new AtomicLong();

    BenchControl(int[] targetPorts) {
        for (int i = 0; i < targetPorts.length; i++) {
            TargetAnnouncement told = new TargetAnnouncement(
                    TargetId.of("target-" + i),
                    "booking",
                    "127.0.0.1:" + targetPorts[i],
                    "zone-a",
                    SLOTS,
                    CONNECTIONS,
                    0,
                    false);
            targets.add(new TargetGrant(told, 1, 0, 0, 0));
        }
        for (int i = 0; i < RANGES; i++) {
            ranges.add(new RangeGrant(i, 1, 0));
        }
    }

    @Override
    public CompletableFuture<Outcome> execute(Command command) {
        long at = index.incrementAndGet();
        Outcome outcome = command instanceof ClaimOnce ? new ClaimGranted(at) : new Done(at);
        return CompletableFuture.completedFuture(outcome);
    }

    @Override
    public CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat) {
        ServiceRule rule =
                new ServiceRule("booking", "/", RequestClass.EXCLUSIVE, 5_000, 60_000, 1 << 20, 10_000, 100, 25);
        RuleSet rules = new RuleSet(
                new TreeMap<>(Map.of("booking", rule)), new TreeMap<>(), new TreeMap<>(), BatchRule.DEFAULT);
        return CompletableFuture.completedFuture(
                new EntryLease(2_000, 1, Optional.of(rules), GrantChanges.whole(targets), ranges, List.of()));
    }
}
