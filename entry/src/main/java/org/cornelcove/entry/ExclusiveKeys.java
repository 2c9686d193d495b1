package org.cornelcove.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;

import org.cornelcove.model.message.PeerEntry;

/**
 * Ensures that requests of class exclusive with the same key do not run concurrently.
 *
 * <p>Every key belongs to one of {@value #RANGES} ranges, and each range is owned by one entry. The owner locks a key
 * while a request with it runs, and refuses a second one. If the outcome of a run is unknown, the key stays locked
 * until the request's deadline plus the bound on clock drift has passed, after which no target starts it, and until the
 * target that may still run it has announced that its slot is free. If the target never does, the key is unlocked after
 * the service's maximum deadline has passed in addition. Other entries forward to the owner. A new owner serves a range
 * only after the time given by the leader, when no run of the previous owner can remain.
 *
 * <p>The alternative, a quorum commit for each key, would survive the loss of the owner without a delay, but costs
 * every booking a round trip to the leader and a write to disk.
 */
final class ExclusiveKeys {
    /** The number of key ranges; must be the same in every process of the system. */
    static final int RANGES = 64;

    private static final long NANOS_PER_MS = 1_000_000;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final EntrySettings settings;
    private final EntryClock clock;
    private final Supplier<EntryView> view;
    private final Dispatcher dispatcher;
    private final PeerForwarder peers;
    private final DeadlineWheel deadlines;
    private final Refusals refusals;
    private final ConcurrentMap<String, ServiceRequest> lockedKeys = new ConcurrentHashMap<>();

    ExclusiveKeys(Dispatcher.Parts parts, Dispatcher dispatcher) {
        settings = parts.settings();
        clock = parts.clock();
        view = parts.view();
        peers = parts.peers();
        deadlines = parts.deadlines();
        refusals = parts.refusals();
        this.dispatcher = dispatcher;
    }

    /** Returns the range of a key; the result must not change between versions or hosts. */
    static int rangeOf(String scopedKey) {
        long hash = FNV_OFFSET;
        for (byte one : scopedKey.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (one & 0xff)) * FNV_PRIME;
        }
        hash ^= hash >>> 32;
        return (int) Math.floorMod(hash, (long) RANGES);
    }

    static String scopedKey(ServiceRequest request) {
        return request.tenant() + "/" + request.service().name() + "/" + request.key();
    }

    /** Runs a request if its key is not locked, or forwards it to the owner of its key range. */
    CompletableFuture<Answer> submit(ServiceRequest request) {
        EntryView now = view.get();
        long nowNs = clock.nowNs().getAsLong();
        if (!now.isLeased(nowNs)) {
            return done(refusals.notReady("its lease has lapsed"));
        }
        String key = scopedKey(request);
        int range = rangeOf(key);
        EntryView.OwnedRange owned = now.ranges().get(range);
        if (owned == null) {
            return forward(request, range, now);
        }
        long waitMs = (owned.servableFromNs() - nowNs) / NANOS_PER_MS;
        if (owned.servableFromNs() - nowNs > 0) {
            return done(refusals.rangeMoving(range, waitMs));
        }
        return runLocked(request, key, nowNs);
    }

    private CompletableFuture<Answer> forward(ServiceRequest request, int range, EntryView now) {
        if (request.isForwarded()) {
            return done(refusals.notRun("key range " + range + " now has another owner"));
        }
        Optional<PeerEntry> owner = now.peers().stream()
                .filter(peer -> peer.ranges().contains(range))
                .findFirst();
        if (owner.isEmpty()) {
            return done(refusals.rangeMoving(range, 0));
        }
        request.trace()
                .add(
                        clock.nowNs().getAsLong(),
                        "key range of entry",
                        owner.get().entry());
        return dispatcher.forwardOnly(request, owner.get());
    }

    private CompletableFuture<Answer> runLocked(ServiceRequest request, String key, long nowNs) {
        ServiceRequest holder = lockedKeys.putIfAbsent(key, request);
        if (holder != null) {
            long waitMs = Math.max(0, (holder.deadlineNs() - nowNs) / NANOS_PER_MS);
            // A request repeated under the same id may be running; only one with another id is certainly not run.
            return done(refusals.keyInFlight(
                    request.key(), waitMs, holder.id().equals(request.id()) ? RunState.UNKNOWN : RunState.NOT_RUN));
        }
        return dispatcher.submit(request).thenApply(answer -> {
            if (answer.run() == RunState.UNKNOWN) {
                release(request, key, answer);
            } else {
                lockedKeys.remove(key, request);
            }
            return answer;
        });
    }

    /**
     * Unlocks the key of a run of unknown outcome once the target reports it finished, or at the latest possible end.
     */
    private void release(ServiceRequest request, String key, Answer answer) {
        long startsEndNs = request.deadlineNs() + settings.clockDriftMs() * NANOS_PER_MS;
        long longestNs = request.service().maxDeadlineMs() * NANOS_PER_MS;
        if (answer.runFinished().isEmpty()) {
            deadlines.at(startsEndNs, () -> lockedKeys.remove(key, request));
            return;
        }
        deadlines.at(startsEndNs + longestNs, () -> lockedKeys.remove(key, request));
        deadlines.at(startsEndNs, () -> answer.runFinished().get().thenRun(() -> lockedKeys.remove(key, request)));
    }

    private static CompletableFuture<Answer> done(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
