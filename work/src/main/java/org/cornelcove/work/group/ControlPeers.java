package org.cornelcove.work.group;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.cornelcove.wire.CallClient;

/**
 * The known control hosts: the last reported leader, the last reported members, and the seeds, in this order. Both
 * lists are needed, because seeds may be replaced and the membership changes.
 */
public final class ControlPeers implements Supplier<List<String>> {
    private static final long CALL_TIMEOUT_MS = 700;

    private record KnownGroup(String leader, List<String> members) {}

    private final CallClient client;
    private final String self;
    private final Supplier<List<String>> seeds;
    private final AtomicReference<KnownGroup> known = new AtomicReference<>(new KnownGroup("", List.of()));

    private ControlPeers(CallClient client, String self, Supplier<List<String>> seeds) {
        this.client = client;
        this.self = self;
        this.seeds = seeds;
    }

    /**
     * Creates peers that initially consist of the seeds.
     *
     * @param client makes the calls
     * @param self the address of this process, which is not a peer of itself
     * @param seeds supplies the current addresses from the settings; read on each use
     * @return the peers
     */
    public static ControlPeers create(CallClient client, String self, Supplier<List<String>> seeds) {
        return new ControlPeers(client, self, seeds);
    }

    /**
     * Returns the last reported leader.
     *
     * @return {@code ip:port}, empty before the first report
     */
    public Optional<String> leader() {
        return Optional.of(known.get().leader()).filter(address -> !address.isEmpty());
    }

    @Override
    public List<String> get() {
        KnownGroup current = known.get();
        Set<String> all = new LinkedHashSet<>();
        if (!current.leader().isEmpty()) {
            all.add(current.leader());
        }
        all.addAll(current.members());
        all.addAll(seeds.get());
        all.remove(self);
        return new ArrayList<>(all);
    }

    /** Queries all known control hosts; each answer that names a leader replaces the known leader and members. */
    public void refresh() {
        GroupQuery query = new GroupQuery(self);
        get().forEach(address ->
                client.call(address, GroupCalls.VIEW, query, CALL_TIMEOUT_MS).thenAccept(this::update));
    }

    /** Queries only the leader; falls back to {@link #refresh} when it is unknown, fails or no longer leads. */
    public void refreshFromLeader() {
        Optional<String> leading = leader();
        if (leading.isEmpty()) {
            refresh();
            return;
        }
        client.call(leading.get(), GroupCalls.VIEW, new GroupQuery(self), CALL_TIMEOUT_MS)
                .whenComplete((view, thrown) -> {
                    if (thrown == null && view.leader().equals(leading.get())) {
                        update(view);
                    } else {
                        refresh();
                    }
                });
    }

    private void update(GroupView view) {
        if (!view.leader().isEmpty()) {
            known.set(new KnownGroup(view.leader(), view.members()));
        }
    }
}
