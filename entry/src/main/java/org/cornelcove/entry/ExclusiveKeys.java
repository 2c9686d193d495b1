package org.cornelcove.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;

import org.cornelcove.model.message.PeerEntry;

/**
 * Keeps requests of class exclusive from running twice at once.
 *
 * <p>Every key falls into one of {@value #RANGES} ranges, and each range has one owning entry. The owner holds a key
 * while a request with it runs, and refuses a second one. Where the outcome of a run is unknown the key stays held until
 * the request's deadline and the bound on clock drift have passed, so that no target starts it any more, and until the
 * target that may still run it has announced that its slot is free; if it never does, until the service's longest
 * deadline has passed besides. Other entries forward to the owner. A new owner serves
 * a range only after the time that the leader names, when no run of the previous owner can be left.
 *
 * <p>The alternative, a quorum commit for each key, survives the owner at once but costs every booking a round trip to
 * the leader and a write to disk.
 */
final class ExclusiveKeys {
    /** The number of key ranges; the same in every process of the system. */
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
    private final ConcurrentMap<String, ServiceRequest> held = new ConcurrentHashMap<>();

    ExclusiveKeys(Dispatcher.Parts parts, Dispatcher dispatcher) {
        settings = parts.settings();
        clock = parts.clock();
        view = parts.view();
        peers = parts.peers();
        deadlines = parts.deadlines();
        refusals = parts.refusals();
        this.dispatcher = dispatcher;
    }

    /** Returns the range of a key; the same for ever and on every host. */
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

    /** Runs a request whose key nobody holds yet. */
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
        return runHeld(request, key, nowNs);
    }

    private CompletableFuture<Answer> forward(ServiceRequest request, int range, EntryView now) {
        if (request.isForwarded()) {
            return done(refusals.notRun("key range " + range + " has another owner by now"));
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

    private CompletableFuture<Answer> runHeld(ServiceRequest request, String key, long nowNs) {
        ServiceRequest holder = held.putIfAbsent(key, request);
        if (holder != null) {
            long waitMs = Math.max(0, (holder.deadlineNs() - nowNs) / NANOS_PER_MS);
            // A request sent again under its own id may be running: only another one is surely not run.
            return done(refusals.keyInFlight(
                    request.key(), waitMs, holder.id().equals(request.id()) ? RunState.UNKNOWN : RunState.NOT_RUN));
        }
        return dispatcher.submit(request).thenApply(answer -> {
            if (answer.run() == RunState.UNKNOWN) {
                release(request, key, answer);
            } else {
                held.remove(key, request);
            }
            return answer;
        });
    }

    /** Frees the key of a run of unknown outcome when it is over, by the target's word or by the last instant. */
    private void release(ServiceRequest request, String key, Answer answer) {
        long startsEndNs = request.deadlineNs() + settings.clockDriftMs() * NANOS_PER_MS;
        long longestNs = request.service().maxDeadlineMs() * NANOS_PER_MS;
        if (answer.over().isEmpty()) {
            deadlines.at(startsEndNs, () -> held.remove(key, request));
            return;
        }
        deadlines.at(startsEndNs + longestNs, () -> held.remove(key, request));
        deadlines.at(startsEndNs, () -> answer.over().get().thenRun(() -> held.remove(key, request)));
    }

    private static CompletableFuture<Answer> done(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
